#include "config/snapshot_scheduler.h"

namespace peridotarch {

namespace {

// The log's retention is divided by this: three renewals may fail.
constexpr int64_t kRenewalsPerRetention = 4;
// The random delay grows with the fleet, so that about one node appends before
// the others see it.
constexpr millis kRepairDelay{300};
constexpr millis kRepairSpreadPerPeer{20};
constexpr millis kRenewDelay{1000};
constexpr millis kRenewSpreadPerPeer{100};

}  // namespace

snapshot_scheduler::snapshot_scheduler(millis retention, uint64_t seed)
    : interval_(retention / kRenewalsPerRetention), random_(seed) {}

void snapshot_scheduler::OnSnapshot(millis now) { renew_at_ = now + interval_; }

// A repair is due when the log's head is behind what is in force: the log was
// reset. A renewal is due when a reader that starts would soon have to read
// far, or find no snapshot at all.
bool snapshot_scheduler::ShouldAppend(const log_follower& log,
                                      const revision_id& in_force, size_t peers,
                                      millis now) {
  if (!renew_at_) {
    const auto half = static_cast<uint64_t>(interval_.count() / 2 + 1);
    renew_at_ = now + millis(static_cast<int64_t>(random_.Below(half)));
  }
  const revision_id& head = log.head().id;
  const bool repair =
      in_force != head && in_force.number >= head.number && in_force.number > 0;
  const bool wanted =
      log.caught_up() && (repair || (in_force == head && Wanted(log, now)));
  if (!wanted) {
    fire_at_.reset();
    return false;
  }
  if (fired_at_ && now - *fired_at_ < kAppendRetryInterval) {
    return false;
  }
  if (!fire_at_) {
    const millis delay = repair ? kRepairDelay : kRenewDelay;
    const millis spread = repair ? kRepairSpreadPerPeer : kRenewSpreadPerPeer;
    const auto width =
        static_cast<uint64_t>((spread * static_cast<int64_t>(peers)).count());
    fire_at_ =
        now + delay + millis(static_cast<int64_t>(random_.Below(width + 1)));
  }
  if (now < *fire_at_) {
    return false;
  }
  fire_at_.reset();
  fired_at_ = now;
  return true;
}

bool snapshot_scheduler::Wanted(const log_follower& log, millis now) const {
  if (log.head().id.number == 0) {
    return false;
  }
  const uint64_t oldest = log.oldest();
  const uint64_t last = log.last_snapshot().value_or(0);
  if (now >= *renew_at_ || log.next() - last >= kRecordsPerSnapshot) {
    return true;
  }
  // The log has begun to drop records: keep the snapshot away from its end.
  const uint64_t margin = (log.next() - oldest) / kRenewalsPerRetention;
  return oldest > 0 && last < oldest + margin;
}

}  // namespace peridotarch
