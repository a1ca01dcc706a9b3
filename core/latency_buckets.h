#ifndef CORE_LATENCY_BUCKETS_H_
#define CORE_LATENCY_BUCKETS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <cstddef>
#include <cstdint>

#include "core/narrow.h"

namespace peridotarch {

/// Number of log-linear buckets: eight for each power of two up to 2^32
/// microseconds.
inline constexpr size_t kLatencyBucketCount = 8 * 30;

/// Counts of samples by bucket.
using latency_counts = std::array<uint64_t, kLatencyBucketCount>;

/// Returns the bucket of a latency in microseconds.
size_t LatencyBucketOf(uint64_t micros);

/// Returns the middle of a bucket in microseconds; within 1/16 of every sample
/// in it.
double LatencyBucketMiddle(size_t bucket);

/// Accumulator of Boost.Accumulators that counts samples in log-linear
/// buckets. Unlike the library's own quantiles it can be merged.
struct latency_buckets_impl : boost::accumulators::accumulator_base {
  using result_type = const latency_counts&;

  explicit latency_buckets_impl(boost::accumulators::dont_care) {}

  template <typename Args>
  void operator()(const Args& args) {
    ++counts_[LatencyBucketOf(
        Clamped<uint64_t>(args[boost::accumulators::sample]))];
  }
  result_type result(boost::accumulators::dont_care) const { return counts_; }

 private:
  latency_counts counts_{};
};

namespace tag {

/// Feature of an accumulator set: counts of samples by bucket.
struct latency_buckets : boost::accumulators::depends_on<> {
  using impl = boost::mpl::always<latency_buckets_impl>;
};

}  // namespace tag

}  // namespace peridotarch

#endif  // CORE_LATENCY_BUCKETS_H_
