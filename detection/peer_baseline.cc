#include "detection/peer_baseline.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

constexpr int kBucketsPerOctave = 4;
constexpr float kWindow = 1000;  ///< Samples after which all weights halve.
constexpr int kRefreshEvery = 32;
constexpr float kHighShare = 0.90F;
constexpr float kExtremeShare = 0.99F;
/// A latency below these multiples of the median is no fault, however steady
/// the peers are.
constexpr int64_t kHighFactor = 2;
constexpr int64_t kExtremeFactor = 3;

int64_t UpperBound(size_t bucket) {
  return static_cast<int64_t>(
      std::exp2(static_cast<double>(bucket + 1) / kBucketsPerOctave));
}

}  // namespace

void peer_baseline::AddAnswer(int64_t latency_us) {
  buckets_[BucketOf(latency_us)] += 1;
  answers_ += 1;
  if (--until_refresh_ <= 0) {
    Refresh();
  }
  Fade();
}

void peer_baseline::AddFailure() {
  failures_ += 1;
  Fade();
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
  return total < kEnough ? 0.0 : failures_ / total;
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

void peer_baseline::Refresh() {
  until_refresh_ = kRefreshEvery;
  median_us_ = Quantile(0.5F);
  high_us_ = std::max(Quantile(kHighShare), median_us_ * kHighFactor);
  extreme_us_ = std::max(Quantile(kExtremeShare), median_us_ * kExtremeFactor);
}

void peer_baseline::Fade() {
  if (answers_ + failures_ < 2 * kWindow) {
    return;
  }
  for (float& bucket : buckets_) {
    bucket /= 2;
  }
  answers_ /= 2;
  failures_ /= 2;
}

}  // namespace peridotarch
