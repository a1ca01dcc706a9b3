#include "core/latency_buckets.h"

#include <algorithm>
#include <bit>

namespace peridotarch {

namespace {

constexpr unsigned kLinearBits = 3;
constexpr uint64_t kLinearBuckets = uint64_t{1} << kLinearBits;

}  // namespace

// Values below eight have a bucket each; above, the three bits after the
// leading one choose among eight buckets of that power of two.
size_t LatencyBucketOf(uint64_t micros) {
  if (micros < kLinearBuckets) {
    return micros;
  }
  const auto shift =
      static_cast<unsigned>(std::bit_width(micros)) - 1 - kLinearBits;
  const uint64_t within = (micros >> shift) - kLinearBuckets;
  const size_t bucket = (shift + 1) * kLinearBuckets + within;
  return std::min(bucket, kLatencyBucketCount - 1);
}

double LatencyBucketMiddle(size_t bucket) {
  if (bucket < kLinearBuckets) {
    return static_cast<double>(bucket);
  }
  const size_t shift = bucket / kLinearBuckets - 1;
  const uint64_t low = (kLinearBuckets + bucket % kLinearBuckets) << shift;
  const uint64_t width = uint64_t{1} << shift;
  return static_cast<double>(low) + static_cast<double>(width - 1) / 2;
}

}  // namespace peridotarch
