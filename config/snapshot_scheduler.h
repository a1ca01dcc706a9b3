#ifndef CONFIG_SNAPSHOT_SCHEDULER_H_
#define CONFIG_SNAPSHOT_SCHEDULER_H_

#include <cstdint>
#include <optional>

#include "config/log_follower.h"
#include "config/revision.h"
#include "core/millis.h"
#include "core/random.h"

namespace peridotarch {

/// Decides when this node appends a snapshot to the log. Whoever notices does
/// it after a random delay; a second one is harmless.
class snapshot_scheduler {
 public:
  /// Records after which readers should find a newer snapshot.
  static constexpr uint64_t kRecordsPerSnapshot = 16;
  /// How long an append may be under way before it is made again.
  static constexpr millis kAppendRetryInterval{5000};

  /// `retention` is how long the log keeps a record.
  snapshot_scheduler(millis retention, uint64_t seed);

  /// Notes that the log holds a fresh snapshot.
  void OnSnapshot(millis now);

  /// Returns true when the node should append a snapshot of `in_force` now.
  bool ShouldAppend(const log_follower& log, const revision_id& in_force,
                    size_t peers, millis now);

 private:
  [[nodiscard]] bool Wanted(const log_follower& log, millis now) const;

  const millis interval_;
  random_bits random_;
  std::optional<millis> renew_at_;  // By age alone.
  std::optional<millis> fire_at_;   // Since a reason was noticed.
  std::optional<millis> fired_at_;
};

}  // namespace peridotarch

#endif  // CONFIG_SNAPSHOT_SCHEDULER_H_
