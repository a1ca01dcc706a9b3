#ifndef DETECTION_PEER_BASELINE_H_
#define DETECTION_PEER_BASELINE_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridotarch {

/// How a latency compares with those of the peers. The bounds are quantiles, so
/// the share of healthy work in each grade does not depend on the distribution.
enum class latency_grade { kFast, kUsual, kHigh, kExtreme };

/// Recent latencies and share of failures of healthy peers. Older samples lose
/// weight as new ones come.
class peer_baseline {
 public:
  /// Adds an answered request, with its latency in microseconds.
  void AddAnswer(int64_t latency_us);

  /// Adds a failed request.
  void AddFailure();

  /// Tells whether there are enough samples to compare with.
  [[nodiscard]] bool ready() const { return answers_ >= kMinSamples; }

  [[nodiscard]] latency_grade Grade(int64_t latency_us) const;

  /// Returns the share of failed requests among all; zero if there are too few.
  [[nodiscard]] double FailureShare() const;

  /// Returns the latency in microseconds above which an answer is kExtreme.
  [[nodiscard]] int64_t extreme_us() const { return extreme_us_; }
  [[nodiscard]] int64_t median_us() const { return median_us_; }

 private:
  static constexpr size_t kBucketCount = 112;
  static constexpr float kMinSamples = 50;

  static size_t BucketOf(int64_t latency_us);
  [[nodiscard]] int64_t Quantile(float share) const;
  void UpdateQuantiles();
  void LimitWeights();

  std::array<float, kBucketCount> buckets_{};
  float answers_ = 0;
  float failures_ = 0;
  int answers_until_update_ = 0;
  int64_t median_us_ = 0;
  int64_t high_us_ = 0;
  int64_t extreme_us_ = 0;
};

}  // namespace peridotarch

#endif  // DETECTION_PEER_BASELINE_H_
