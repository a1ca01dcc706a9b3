#ifndef DETECTION_EJECTOR_H_
#define DETECTION_EJECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/millis.h"
#include "detection/ledger.h"

namespace peridotarch {

/// An instance that its owner wants to keep out.
struct wanted_ejection {
  std::string instance;
  uint64_t incarnation = 0;
  millis since;  ///< Wall clock.
  std::string reason;
};

/// What an owner knows of its service's capacity.
struct capacity_view {
  std::vector<std::string>
      capacity_instances;  ///< Live, warm and not leaving; all shards.
  int floor = 0;           ///< Slots.
  int slots = 1;           ///< Per instance.
  int shards = 1;  ///< Of the service; zero when this process owns none.
};

/// Decides which of the wanted ejections one process may carry out: those it
/// holds a lease for in the ledger, and a few under its allowance. Whatever
/// other processes do or believe, together they leave the service its floor.
class ejector {
 public:
  /// `holder` names this process and its incarnation.
  ejector(std::string service, std::string holder);

  /// Tells whether the log is away; until it was read to its end it is.
  void SetLogAway(bool away) { log_away_ = away; }

  /// Takes in a record of the stream.
  apply_result OnEjectionRecord(std::string_view bytes, millis appended_at);

  /// Sets what is wanted, the worst first, and the capacity in view.
  void SetWanted(std::vector<wanted_ejection> wanted, capacity_view view);

  /// Returns a record to append, if one is due.
  std::optional<std::string> Propose(millis wall);

  /// Returns the record that gives up all rights of this process, if it has
  /// any; nothing is granted any more.
  std::optional<std::string> Resign(millis wall);

  /// Returns the instances that may be kept out now.
  [[nodiscard]] std::set<std::string> Granted(millis wall) const;

  /// Returns how many of the wanted instances the floor keeps in service.
  [[nodiscard]] int HeldBack() const;

  [[nodiscard]] const ledger& chain() const { return ledger_; }

 private:
  [[nodiscard]] ejection_record Desired(millis wall) const;
  [[nodiscard]] bool Due(const ejection_record& desired, millis wall) const;
  [[nodiscard]] bool HoldsLease(const wanted_ejection& wanted,
                                millis wall) const;
  [[nodiscard]] int AllowedSlots(millis wall) const;
  [[nodiscard]] std::set<std::string> OutByOthers(millis wall) const;
  [[nodiscard]] int AllowedToOthers(millis wall) const;
  std::optional<std::string> Retry(millis wall);

  ledger ledger_;
  const std::string holder_;
  std::vector<wanted_ejection> wanted_;
  capacity_view view_;
  bool log_away_ = true;
  bool resigned_ = false;
  std::optional<ejection_record> pending_;  ///< Appended, fate unknown.
  std::string pending_bytes_;
  millis next_try_;
  millis next_growth_;
  millis unanchored_since_;
};

}  // namespace peridotarch

#endif  // DETECTION_EJECTOR_H_
