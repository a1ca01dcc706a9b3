#ifndef REQUEST_SLOT_TABLE_H_
#define REQUEST_SLOT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/millis.h"
#include "request/call_info.h"
#include "request/instance_view.h"

namespace peridotarch {

/// When instances get work.
struct slot_limits {
  millis cold_ramp = millis(10'000);  ///< From the first slot to all.
  int trial_divisor = 10;  ///< A trial instance gets this part of the work of
                           ///< one that takes regular work.
  millis shed_backoff = millis(50);  ///< Without new work after a shed answer.
};

/// The exact slots in use at each instance of a shard, and the choice of the
/// instance for a call. Indexes stay valid while work is in flight there.
class slot_table {
 public:
  explicit slot_table(slot_limits limits) : limits_(limits) {}

  /// Replaces what is known of the instances; work in flight stays counted.
  void SetInstances(std::span<const instance_view> instances);

  /// Returns the instance that the call goes to, if one may take it now.
  [[nodiscard]] std::optional<size_t> Choose(const call_info& call,
                                             millis now) const;

  /// Takes a slot of the instance.
  void Take(size_t at, millis now);

  /// Gives a slot of the instance back.
  void Free(size_t at);

  /// The instance answered that it has no slot: others send to it as well.
  void NoteShed(const std::string& instance, millis now);

  /// Returns whether any call could be granted now.
  [[nodiscard]] bool HasFreeSlot(millis now) const;

  /// Returns whether any instance takes regular work, busy or not.
  [[nodiscard]] bool HasRegularInstance() const;

  /// Returns the slots that are open to regular work, in use or not.
  [[nodiscard]] int TotalSlots(millis now) const;

  [[nodiscard]] const instance_view& At(size_t at) const {
    return instances_[at].view;
  }

  /// Returns the attempts in flight at an instance.
  [[nodiscard]] int InFlightAt(const std::string& instance) const;

 private:
  struct instance_slots {
    instance_view view;
    bool listed = false;  ///< False when gone; kept while work is in flight.
    int busy = 0;
    millis next_trial;        ///< Earliest time of the next trial request.
    uint64_t trial_from = 0;  ///< Grants of the shard before the next trial.
    millis shed_until;        ///< No new work before.
  };

  instance_slots& FindOrAdd(const std::string& id);
  [[nodiscard]] int UsableSlots(const instance_slots& instance,
                                millis now) const;
  [[nodiscard]] bool HasRoom(const instance_slots& instance, millis now) const;
  [[nodiscard]] bool CanTake(const instance_slots& instance,
                             const call_info& call, millis now) const;
  [[nodiscard]] bool TrialIsDue(const instance_slots& instance,
                                millis now) const;
  [[nodiscard]] int OpenCount() const;
  [[nodiscard]] bool HasOther(const std::string& excluded) const;
  [[nodiscard]] int Rank(const instance_slots& instance, const call_info& call,
                         millis now) const;
  [[nodiscard]] bool Before(const instance_slots& left,
                            const instance_slots& right, const call_info& call,
                            millis now) const;

  const slot_limits limits_;
  std::vector<instance_slots> instances_;
  uint64_t taken_ = 0;
};

}  // namespace peridotarch

#endif  // REQUEST_SLOT_TABLE_H_
