#include "core/latency_summary.h"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>

#include "core/latency_buckets.h"

namespace peridotarch {

namespace acc = boost::accumulators;

namespace {

using recorded =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::max, tag::latency_buckets>>;

const acc::extractor<tag::latency_buckets> kBuckets = {};

// Threads take shards in turn, so that up to kShards threads share none.
size_t ShardOfThread() {
  static std::atomic<size_t> next = 0;
  thread_local const size_t mine =
      next.fetch_add(1, std::memory_order_relaxed) % latency_summary::kShards;
  return mine;
}

double Quantile(const std::array<uint64_t, kLatencyBucketCount>& counts,
                uint64_t total, double fraction) {
  const double rank = fraction * static_cast<double>(total);
  uint64_t below = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    below += counts[i];
    if (counts[i] != 0 && static_cast<double>(below) >= rank) {
      return LatencyBucketMiddle(i);
    }
  }
  return 0;
}

}  // namespace

// The lock is contended only while a read merges, since one thread records.
class alignas(64) latency_summary::shard {
 public:
  void Record(uint64_t micros) {
    const std::lock_guard lock(mutex_);
    recorded_(static_cast<double>(micros));
  }

  void MergeInto(latency_reading& reading,
                 std::array<uint64_t, kLatencyBucketCount>& counts) const {
    const std::lock_guard lock(mutex_);
    if (acc::count(recorded_) == 0) {
      return;
    }
    reading.count += acc::count(recorded_);
    reading.sum += acc::sum(recorded_);
    reading.max = std::max(reading.max, acc::max(recorded_));
    const latency_counts& mine = kBuckets(recorded_);
    for (size_t i = 0; i < counts.size(); ++i) {
      counts[i] += mine[i];
    }
  }

 private:
  mutable std::mutex mutex_;
  recorded recorded_;
};

latency_summary::latency_summary() {
  for (auto& each : shards_) {
    each = std::make_unique<shard>();
  }
}

latency_summary::~latency_summary() = default;

void latency_summary::Record(uint64_t micros) {
  shards_[ShardOfThread()]->Record(micros);
}

latency_reading latency_summary::Read() const {
  latency_reading reading;
  std::array<uint64_t, kLatencyBucketCount> counts{};
  for (const auto& each : shards_) {
    each->MergeInto(reading, counts);
  }
  reading.p50 = Quantile(counts, reading.count, 0.5);
  reading.p90 = Quantile(counts, reading.count, 0.9);
  reading.p99 = Quantile(counts, reading.count, 0.99);
  reading.p999 = Quantile(counts, reading.count, 0.999);
  return reading;
}

}  // namespace peridotarch
