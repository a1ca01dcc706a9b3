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

/// Limits on the work that instances get.
struct slot_limits {
  millis cold_ramp = millis(10'000);  ///< From the first slot to all slots.
  int trial_divisor = 10;  ///< An instance on trial gets the work of an
                           ///< instance in regular use, divided by this.
  millis shed_backoff = millis(50);  ///< No new work for so long after a shed.
};

/// Counts the slots in use at each instance of a shard and chooses the
/// instance for a call. The index of an instance stays valid while work is in
/// flight there.
class slot_table {
 public:
  explicit slot_table(slot_limits limits) : limits_(limits) {}

  /// Replaces what is known about the instances; work in flight stays counted.
  void SetInstances(std::span<const instance_view> instances);

  /// Returns the index of the instance for the call, if one may take it now.
  [[nodiscard]] std::optional<size_t> Choose(const call_info& call,
                                             millis now) const;

  /// Takes a slot of the instance.
  void Take(size_t index, millis now);

  /// Frees a slot of the instance.
  void Free(size_t index);

  /// Records that the instance answered that it has no slot, so other
  /// nodes send to it as well.
  void NoteShed(const std::string& instance, millis now);

  /// Returns whether any call could be granted now.
  [[nodiscard]] bool HasFreeSlot(millis now) const;

  /// Returns whether any instance takes regular work, busy or not.
  [[nodiscard]] bool HasRegularInstance() const;

  /// Returns the number of slots open to regular work, in use or not.
  [[nodiscard]] int TotalSlots(millis now) const;

  [[nodiscard]] const instance_view& InstanceAt(size_t index) const {
    return instances_[index].view;
  }

  /// Returns the attempts in flight at an instance.
  [[nodiscard]] int InFlightAt(const std::string& instance) const;

 private:
  struct instance_slots {
    instance_view view;
    bool is_listed = false;  ///< False once gone; kept while work is in flight.
    int busy = 0;
    millis next_trial_at;  ///< Earliest time of the next trial request.
    uint64_t trial_after_grants = 0;  ///< No trial while grants_ is lower.
    millis blocked_until;             ///< No new work before this time.
  };

  instance_slots& FindOrAdd(const std::string& id);
  [[nodiscard]] int UsableSlots(const instance_slots& instance,
                                millis now) const;
  [[nodiscard]] bool HasRoom(const instance_slots& instance, millis now) const;
  [[nodiscard]] bool CanTake(const instance_slots& instance,
                             const call_info& call, millis now) const;
  [[nodiscard]] bool IsTrialDue(const instance_slots& instance,
                                millis now) const;
  [[nodiscard]] int CountOpen() const;
  [[nodiscard]] bool HasOtherRegular(const std::string& excluded) const;
  [[nodiscard]] int Rank(const instance_slots& instance, const call_info& call,
                         millis now) const;
  [[nodiscard]] bool IsBetter(const instance_slots& left,
                              const instance_slots& right,
                              const call_info& call, millis now) const;

  const slot_limits limits_;
  std::vector<instance_slots> instances_;
  uint64_t grants_ = 0;
};

}  // namespace peridotarch

#endif  // REQUEST_SLOT_TABLE_H_
