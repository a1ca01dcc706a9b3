#include "balance/node_ring.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

constexpr size_t kMinNodesPerInstance = 2;

}  // namespace

double RingPosition(size_t rank, size_t count) {
  return (static_cast<double>(rank) + 0.5) / static_cast<double>(count);
}

bool home_range::Contains(double node_position) const {
  const double distance = std::abs(position - node_position);
  return std::min(distance, 1 - distance) <= half_width;
}

home_range HomeRangeOf(size_t rank, size_t instances, size_t nodes) {
  const double share = std::max(
      static_cast<double>(kHomeInstances) / static_cast<double>(instances),
      static_cast<double>(kMinNodesPerInstance) /
          static_cast<double>(std::max<size_t>(nodes, 1)));
  return {RingPosition(rank, instances), std::min(share, 1.0) / 2};
}

void node_ring::Set(uint32_t own, std::vector<uint32_t> others) {
  keys_ = std::move(others);
  keys_.push_back(own);
  std::sort(keys_.begin(), keys_.end());
}

double node_ring::PositionOf(uint32_t key) const {
  const auto place = std::lower_bound(keys_.begin(), keys_.end(), key);
  const auto rank = static_cast<size_t>(place - keys_.begin());
  return keys_.empty() ? 0 : RingPosition(rank % keys_.size(), keys_.size());
}

}  // namespace peridotarch
