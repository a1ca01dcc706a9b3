#include "config/snapshot_scheduler.h"

namespace peridotarch {

namespace {

// Three snapshots in a row may fail before the log drops the last good one.
constexpr int64_t kSnapshotsPerRetention = 4;
// The range of the random delay grows with the fleet, so that usually one node
// appends and the others see its snapshot before their own delay ends.
constexpr millis kRepairDelay{300};
constexpr millis kRepairSpreadPerPeer{20};
constexpr millis kSnapshotDelay{1000};
constexpr millis kSnapshotSpreadPerPeer{100};

}  // namespace

snapshot_scheduler::snapshot_scheduler(millis retention, uint64_t seed)
    : snapshot_interval_(retention / kSnapshotsPerRetention), random_(seed) {}

void snapshot_scheduler::OnSnapshot(millis now) {
  next_snapshot_at_ = now + snapshot_interval_;
}

// A repair is needed when the log's head is behind the revision in force,
// because the log was reset. Otherwise a snapshot is needed when a new reader
// would soon have to read far back or would find no snapshot at all.
bool snapshot_scheduler::ShouldAppend(const log_follower& log,
                                      const revision_id& in_force, size_t peers,
                                      millis now) {
  if (!next_snapshot_at_) {
    const auto half = static_cast<uint64_t>(snapshot_interval_.count() / 2 + 1);
    next_snapshot_at_ = now + millis(static_cast<int64_t>(random_.Below(half)));
  }
  const revision_id& head = log.head().id;
  const bool needs_repair =
      in_force != head && in_force.number >= head.number && in_force.number > 0;
  const bool is_needed =
      log.caught_up() &&
      (needs_repair || (in_force == head && IsSnapshotNeeded(log, now)));
  if (!is_needed) {
    append_at_.reset();
    return false;
  }
  if (appended_at_ && now - *appended_at_ < kAppendRetryInterval) {
    return false;
  }
  if (!append_at_) {
    const millis delay = needs_repair ? kRepairDelay : kSnapshotDelay;
    const millis spread =
        needs_repair ? kRepairSpreadPerPeer : kSnapshotSpreadPerPeer;
    const auto width =
        static_cast<uint64_t>((spread * static_cast<int64_t>(peers)).count());
    append_at_ =
        now + delay + millis(static_cast<int64_t>(random_.Below(width + 1)));
  }
  if (now < *append_at_) {
    return false;
  }
  append_at_.reset();
  appended_at_ = now;
  return true;
}

bool snapshot_scheduler::IsSnapshotNeeded(const log_follower& log,
                                          millis now) const {
  if (log.head().id.number == 0) {
    return false;
  }
  const uint64_t oldest = log.oldest();
  const uint64_t last = log.last_snapshot().value_or(0);
  if (now >= *next_snapshot_at_ || log.next() - last >= kRecordsPerSnapshot) {
    return true;
  }
  // The log has begun to drop records, so append before it drops the snapshot.
  const uint64_t margin = (log.next() - oldest) / kSnapshotsPerRetention;
  return oldest > 0 && last < oldest + margin;
}

}  // namespace peridotarch
