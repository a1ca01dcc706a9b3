#ifndef REQUEST_SHARD_H_
#define REQUEST_SHARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/millis.h"
#include "request/call_info.h"
#include "request/instance_view.h"
#include "request/reason.h"
#include "request/slot_table.h"

namespace peridotarch {

/// Identifies one attempt at the owner; unique while the shard tracks it.
using ticket = uint64_t;

/// What the owner must do for one attempt.
struct shard_action {
  enum class action { kGrant, kRefuse };
  action kind = action::kGrant;
  ticket id = 0;
  std::string instance;            ///< For kGrant.
  reason why = reason::kAnswered;  ///< For kRefuse.
  millis retry_after;              ///< For kRefuse.
};

/// Limits of a shard's queue.
struct queue_limits {
  int max_per_slot = 2;  ///< Queued calls for each usable slot.
  /// A queue that has not been empty for longer than this is overloaded.
  millis overload_after = millis(100);
  /// Lower bound of the queueing delay that is allowed in overload.
  millis min_queue_delay = millis(5);
};

/// The scheduler of one shard of one service, with exact slot counts and a
/// short queue. Not thread-safe: its owner makes one call at a time and calls
/// Tick after each.
class shard {
 public:
  explicit shard(queue_limits queue = {}, slot_limits slots = {})
      : limits_(queue), slots_(slots) {}

  /// Replaces what is known about the instances; work in flight stays counted.
  void SetInstances(std::span<const instance_view> instances, millis now);

  /// Asks for a slot; Tick returns the answer.
  void Admit(ticket id, const call_info& call, millis now);

  /// Frees the slot of an attempt that has ended.
  void Release(ticket id, millis now);

  /// Frees the slot at the time `until`, because the attempt has ended here but
  /// may still run at the instance.
  void ReleaseAt(ticket id, millis until);

  /// Removes a queued attempt whose caller has left.
  void Dequeue(ticket id, millis now);

  /// Records that the instance answered that it has no slot, so other
  /// nodes send to it as well.
  void NoteShed(const std::string& instance, millis now);

  /// Returns what must be done now.
  std::vector<shard_action> Tick(millis now);

  /// Returns when Tick is due even without another call; the far future if
  /// nothing waits.
  [[nodiscard]] millis NextTick(millis now) const;

  /// Returns the slots in use or waited for, as a share of the usable slots.
  [[nodiscard]] double Load(millis now) const;

  [[nodiscard]] size_t queued() const { return queue_.size(); }
  [[nodiscard]] size_t in_flight() const { return granted_.size(); }

  /// Returns the attempts in flight at an instance.
  [[nodiscard]] int InFlightAt(const std::string& instance) const {
    return slots_.InFlightAt(instance);
  }

 private:
  /// Sorts by deadline, then by order of arrival.
  using queue_key = std::pair<millis, uint64_t>;
  struct waiting_call {
    ticket id = 0;
    call_info call;
    millis queued_at;
  };
  struct granted_call {
    size_t instance = 0;
    millis granted_at;
    millis free_at;  ///< The far future unless ReleaseAt was called.
  };

  [[nodiscard]] millis ExpectedWait(millis deadline, int slots) const;
  [[nodiscard]] millis AllowedDelay(millis now) const;
  [[nodiscard]] reason RefusalReason(const waiting_call& waiting,
                                     millis now) const;
  void Refuse(ticket id, reason why, millis retry_after);
  void FreeDetached(millis now);
  void GrantQueued(millis now);
  void GrantSlot(const waiting_call& waiting, size_t instance, millis now);
  void RefuseLate(millis now);
  void NoteIfEmpty(millis now);

  const queue_limits limits_;
  slot_table slots_;
  std::map<queue_key, waiting_call> queue_;
  std::unordered_map<ticket, queue_key> queued_;
  std::unordered_map<ticket, granted_call> granted_;
  std::vector<shard_action> actions_;
  uint64_t arrivals_ = 0;
  size_t detached_count_ = 0;   ///< Granted calls whose slot is freed later.
  double mean_service_ms_ = 0;  ///< Moving mean of the time a slot is held.
  millis last_empty_at_;        ///< When the queue was last empty.
};

}  // namespace peridotarch

#endif  // REQUEST_SHARD_H_
