#include "balance/heartbeat_schedule.h"

#include <algorithm>

namespace peridotarch {

void heartbeat_schedule::Advance(size_t nodes) {
  const size_t needed = (nodes + kPerInterval - 1) / kPerInterval;
  intervals_ = static_cast<int>(std::max<size_t>(needed, 1));
  ++current_;
}

bool heartbeat_schedule::IsDue(uint32_t key) const {
  const auto intervals = static_cast<uint32_t>(intervals_);
  // All node keys are odd.
  return (key >> 1) % intervals == current_ % intervals;
}

}  // namespace peridotarch
