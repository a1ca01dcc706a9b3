#ifndef BALANCE_HEARTBEAT_SCHEDULE_H_
#define BALANCE_HEARTBEAT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>

namespace peridotarch {

/// Spreads a node's heartbeats to the other availability zones over several
/// intervals, so that a node receives a bounded number of them in each,
/// however many nodes there are.
class heartbeat_schedule {
 public:
  /// Heartbeats that a node sends to other zones, and receives, per interval.
  static constexpr size_t kPerInterval = 32;

  /// Begins the next interval. `nodes` is the number of nodes in other zones.
  void Advance(size_t nodes);

  /// Returns whether the node with this key gets a heartbeat in this interval.
  [[nodiscard]] bool IsDue(uint32_t key) const;
  /// Returns in how many intervals each node gets one heartbeat.
  [[nodiscard]] int intervals() const { return intervals_; }

 private:
  int intervals_ = 1;
  uint32_t current_ = 0;
};

}  // namespace peridotarch

#endif  // BALANCE_HEARTBEAT_SCHEDULE_H_
