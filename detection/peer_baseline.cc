#include "detection/peer_baseline.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

constexpr int kBucketsPerOctave = 4;
/// All weights are halved when their sum reaches twice this.
constexpr float kWindowSamples = 1000;
constexpr int kUpdateInterval = 32;  ///< Answers between updates.
constexpr float kHighQuantile = 0.90F;
constexpr float kExtremeQuantile = 0.99F;
/// Least multiples of the median at which a latency is high or extreme, so that
/// a small deviation from very steady peers is no fault.
constexpr int64_t kMinHighFactor = 2;
constexpr int64_t kMinExtremeFactor = 3;

int64_t UpperBound(size_t bucket) {
  return static_cast<int64_t>(
      std::exp2(static_cast<double>(bucket + 1) / kBucketsPerOctave));
}

}  // namespace

void peer_baseline::AddAnswer(int64_t latency_us) {
  buckets_[BucketOf(latency_us)] += 1;
  answers_ += 1;
  if (--answers_until_update_ <= 0) {
    UpdateQuantiles();
  }
  LimitWeights();
}

void peer_baseline::AddFailure() {
  failures_ += 1;
  LimitWeights();
}

latency_grade peer_baseline::Grade(int64_t latency_us) const {
  if (latency_us > extreme_us_) {
    return latency_grade::kExtreme;
  }
  if (latency_us > high_us_) {
    return latency_grade::kHigh;
  }
  return latency_us > median_us_ ? latency_grade::kUsual : latency_grade::kFast;
}

double peer_baseline::FailureShare() const {
  const float total = answers_ + failures_;
  return total < kMinSamples ? 0.0 : failures_ / total;
}

size_t peer_baseline::BucketOf(int64_t latency_us) {
  if (latency_us <= 1) {
    return 0;
  }
  const double octaves = std::log2(static_cast<double>(latency_us));
  return std::min(static_cast<size_t>(octaves * kBucketsPerOctave),
                  kBucketCount - 1);
}

int64_t peer_baseline::Quantile(float share) const {
  float seen = 0;
  for (size_t i = 0; i < kBucketCount; ++i) {
    seen += buckets_[i];
    if (seen >= share * answers_) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBucketCount - 1);
}

void peer_baseline::UpdateQuantiles() {
  answers_until_update_ = kUpdateInterval;
  median_us_ = Quantile(0.5F);
  high_us_ = std::max(Quantile(kHighQuantile), median_us_ * kMinHighFactor);
  extreme_us_ =
      std::max(Quantile(kExtremeQuantile), median_us_ * kMinExtremeFactor);
}

void peer_baseline::LimitWeights() {
  if (answers_ + failures_ < 2 * kWindowSamples) {
    return;
  }
  for (float& bucket : buckets_) {
    bucket /= 2;
  }
  answers_ /= 2;
  failures_ /= 2;
}

}  // namespace peridotarch
