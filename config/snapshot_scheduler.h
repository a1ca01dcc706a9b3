#ifndef CONFIG_SNAPSHOT_SCHEDULER_H_
#define CONFIG_SNAPSHOT_SCHEDULER_H_

#include <cstdint>
#include <optional>

#include "config/log_follower.h"
#include "config/revision.h"
#include "core/millis.h"
#include "core/random.h"

namespace peridotarch {

/// Decides when this node appends a snapshot to the log. Every node that sees
/// the need appends one after a random delay, unless another node was faster; a
/// second snapshot is harmless.
class snapshot_scheduler {
 public:
  /// The next snapshot is needed this many records after the last one.
  static constexpr uint64_t kRecordsPerSnapshot = 16;
  /// The least time between two appends of this node, so that it can read the
  /// first one back.
  static constexpr millis kAppendRetryInterval{5000};

  /// `retention` is how long the log keeps a record.
  snapshot_scheduler(millis retention, uint64_t seed);

  /// Records that the log holds a new snapshot of its head.
  void OnSnapshot(millis now);

  /// Returns whether the node should append a snapshot of `in_force` now.
  /// `peers` is the number of peers known.
  bool ShouldAppend(const log_follower& log, const revision_id& in_force,
                    size_t peers, millis now);

 private:
  [[nodiscard]] bool IsSnapshotNeeded(const log_follower& log,
                                      millis now) const;

  const millis snapshot_interval_;
  random_bits random_;
  std::optional<millis> next_snapshot_at_;  // Due to age.
  std::optional<millis> append_at_;         // Set while one is needed.
  std::optional<millis> appended_at_;
};

}  // namespace peridotarch

#endif  // CONFIG_SNAPSHOT_SCHEDULER_H_
