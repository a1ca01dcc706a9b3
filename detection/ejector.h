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

/// An instance that the owner of its shard wants to eject.
struct wanted_ejection {
  std::string instance;
  uint64_t incarnation = 0;
  millis since;  ///< Wall-clock time from which the ejection is wanted.
  std::string reason;
};

/// What an owner knows about its service's capacity.
struct capacity_view {
  /// Ids of the live, warm instances of all shards that are not leaving.
  std::vector<std::string> capacity_instances;
  int floor = 0;   ///< Minimum healthy capacity, in slots.
  int slots = 1;   ///< Slots per instance.
  int shards = 1;  ///< Shards of the service; zero if this process owns none.
};

/// Decides which of the wanted ejections this process may carry out: those with
/// a lease in the ledger, and a few more under its allowance. The ejections of
/// all processes together leave the service at least its floor, whatever each
/// process does or believes about the others.
class ejector {
 public:
  /// `holder` names this process, its incarnation and its shard.
  ejector(std::string service, std::string holder);

  /// Sets whether the log is away. It counts as away until it has been read to
  /// its end once.
  void SetLogAway(bool away) { log_away_ = away; }

  /// Applies a record of the stream; `appended_at` is the log's wall clock.
  apply_result OnEjectionRecord(std::string_view bytes, millis appended_at);

  /// Sets the wanted ejections, worst first, and the known capacity.
  void SetWanted(std::vector<wanted_ejection> wanted, capacity_view view);

  /// Returns a record to append to the log, if one is due.
  std::optional<std::string> Propose(millis wall);

  /// Gives up all leases and allowances of this process for good. Returns the
  /// record that does so, if the process holds any.
  std::optional<std::string> Resign(millis wall);

  /// Returns the instances that this process may keep ejected now.
  [[nodiscard]] std::set<std::string> GrantedInstances(millis wall) const;

  /// Returns how many of the wanted ejections the floor forbids.
  [[nodiscard]] int HeldBackByFloor() const;

  [[nodiscard]] const ledger& ejection_ledger() const { return ledger_; }

 private:
  [[nodiscard]] ejection_record DesiredRecord(millis wall) const;
  [[nodiscard]] bool IsDue(const ejection_record& desired, millis wall) const;
  [[nodiscard]] bool HoldsLease(const wanted_ejection& wanted,
                                millis wall) const;
  [[nodiscard]] int OwnAllowance(millis wall) const;
  [[nodiscard]] std::set<std::string> LeasedToOthers(millis wall) const;
  [[nodiscard]] int AllowanceOfOthers(millis wall) const;
  std::optional<std::string> RetryPending(millis wall);

  ledger ledger_;
  const std::string holder_;
  std::vector<wanted_ejection> wanted_;
  capacity_view view_;
  bool log_away_ = true;
  bool resigned_ = false;
  /// The record that was sent to the log but has not been read back yet.
  std::optional<ejection_record> pending_;
  std::string pending_bytes_;
  millis retry_at_;
  millis grow_at_;
  millis unanchored_since_;
};

}  // namespace peridotarch

#endif  // DETECTION_EJECTOR_H_
