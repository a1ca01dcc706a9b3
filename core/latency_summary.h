#ifndef CORE_LATENCY_SUMMARY_H_
#define CORE_LATENCY_SUMMARY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace peridotarch {

/// What a latency summary holds at one moment, in microseconds.
struct latency_reading {
  uint64_t count = 0;
  double sum = 0;
  double max = 0;
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// Latencies in microseconds. Each thread records into a shard of its own, and
/// a read merges the shards; only with more than kShards threads do two share
/// one.
class latency_summary {
 public:
  static constexpr size_t kShards = 16;

  latency_summary();
  ~latency_summary();

  void Record(uint64_t micros);

  /// Merges all shards; quantiles are within 1/16 of a sample.
  [[nodiscard]] latency_reading Read() const;

 private:
  class shard;

  std::array<std::unique_ptr<shard>, kShards> shards_;
};

}  // namespace peridotarch

#endif  // CORE_LATENCY_SUMMARY_H_
