#include "balance/heartbeat_schedule.h"

namespace peridotarch {

namespace {

constexpr size_t kMeanWhenSpread = heartbeat_schedule::kPerInterval * 3 / 4;

}  // namespace

// The keys fall on the intervals at random, so the mean stays below the limit.
void heartbeat_schedule::Advance(size_t nodes) {
  const size_t needed = nodes <= kPerInterval
                            ? 1
                            : (nodes + kMeanWhenSpread - 1) / kMeanWhenSpread;
  intervals_ = static_cast<int>(needed);
  ++current_;
}

bool heartbeat_schedule::IsDue(uint32_t key) const {
  const auto intervals = static_cast<uint32_t>(intervals_);
  // All node keys are odd.
  return (key >> 1) % intervals == current_ % intervals;
}

}  // namespace peridotarch
