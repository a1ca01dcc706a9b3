#include "detection/evidence.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

/// Shares of the answers in each latency_grade, of a healthy and of a sick
/// instance.
constexpr std::array<double, 4> kHealthyShare = {0.50, 0.40, 0.09, 0.01};
constexpr std::array<double, 4> kSickShare = {0.10, 0.25, 0.25, 0.40};

/// Bounds of the share of failures that is expected of a healthy instance.
constexpr double kMinHealthyFailures = 0.01;
constexpr double kMaxHealthyFailures = 0.60;
/// Least share of failures that is expected of a sick instance.
constexpr double kMinSickFailures = 0.30;
/// An instance is healthy if it fails up to this many times as often as its
/// peers.
constexpr double kFailureFactor = 1.5;

constexpr double kFailedProbeRatio = 1.5;  ///< Log-likelihood ratio.
constexpr double kMaxSumFromProbes = 6.0;
/// Weight of the latest attempt in the shares of failures.
constexpr double kLatestWeight = 0.05;
constexpr int64_t kLatencyMeanDivisor = 8;
constexpr double kMaxSum = 60.0;
constexpr millis kDecayAfter(2'000);  ///< Time without a sample.
constexpr double kDecayFactor = 0.9;

double LatencyRatio(latency_grade grade) {
  const auto i = static_cast<size_t>(grade);
  return std::log(kSickShare[i] / kHealthyShare[i]);
}

double FailureRatio(bool failed, const peer_baseline& peers) {
  const double healthy = std::clamp(peers.FailureShare() * kFailureFactor,
                                    kMinHealthyFailures, kMaxHealthyFailures);
  const double sick = std::max(kMinSickFailures, (1 + healthy) / 2);
  const double sick_share =
      healthy < kMinSickFailures / 2 ? kMinSickFailures : sick;
  return failed ? std::log(sick_share / healthy)
                : std::log((1 - sick_share) / (1 - healthy));
}

}  // namespace

void evidence::OnStart(uint64_t attempt, uint32_t route, millis now) {
  in_flight_.push_back({attempt, route, now, false});
}

// The time until a failure says little, so only successful answers are graded.
void evidence::OnOutcome(uint64_t attempt, const outcome& ended,
                         const peer_baseline& peers, millis now) {
  bool is_counted_late = false;
  std::erase_if(in_flight_, [&](const in_flight& sent) {
    is_counted_late =
        is_counted_late || (sent.attempt == attempt && sent.is_counted_late);
    return sent.attempt == attempt;
  });
  refused_in_a_row_ =
      ended.kind == outcome_kind::kRefused ? refused_in_a_row_ + 1 : 0;
  UpdateFailureShares(ended.kind);
  const bool failed = ended.kind != outcome_kind::kOk;
  double ratio = FailureRatio(failed, peers);
  if (failed) {
    good_in_a_row_ = 0;
    AddSample(ended.route, ratio, now);
    return;
  }
  mean_latency_us_ +=
      (ended.latency_us - mean_latency_us_) / kLatencyMeanDivisor;
  latency_grade grade = latency_grade::kUsual;
  if (peers.ready()) {
    peer_median_us_ = peers.median_us();
    grade = peers.Grade(ended.latency_us);
    ratio += is_counted_late ? 0.0 : LatencyRatio(grade);
  }
  good_in_a_row_ = grade == latency_grade::kExtreme ? 0 : good_in_a_row_ + 1;
  AddSample(ended.route, ratio, now);
}

// An instance that fails real work may still answer probes, so an answered
// probe clears nothing. Failed probes support a suspicion, but never eject by
// themselves.
void evidence::OnProbe(bool answered, millis now) {
  if (answered) {
    return;
  }
  double& total = sums_.back();
  if (total < kMaxSumFromProbes) {
    total = std::min(total + kFailedProbeRatio, kMaxSumFromProbes);
  }
  last_sample_at_ = now;
}

void evidence::Decay(millis now) {
  if (now - last_sample_at_ < kDecayAfter) {
    return;
  }
  last_sample_at_ = now - kDecayAfter / 2;
  for (double& sum : sums_) {
    sum *= kDecayFactor;
  }
}

void evidence::LimitSums(double limit) {
  for (double& sum : sums_) {
    sum = std::min(sum, limit);
  }
}

void evidence::Reset() {
  sums_.fill(0);
  good_in_a_row_ = 0;
  refused_in_a_row_ = 0;
}

double evidence::Score() const {
  return *std::max_element(sums_.begin(), sums_.end());
}

std::string evidence::Describe() const {
  const auto percent = [](double share) {
    return std::to_string(static_cast<int>(share * 100)) + "%";
  };
  std::string text = percent(failure_share_) + " of recent work failed";
  if (unanswered_share_ > failure_share_ / 2 && failure_share_ > 0) {
    text += " without an answer";
  }
  if (peer_median_us_ > 0) {
    text += ", " + std::to_string(mean_latency_us_ / 1000) + " ms against " +
            std::to_string(peer_median_us_ / 1000) + " ms of peers";
  }
  return text + ", " + std::to_string(in_flight_.size()) + " out";
}

void evidence::AddSample(uint32_t route, double ratio, millis now) {
  last_sample_at_ = now;
  for (double* sum : {&sums_[route % kRouteClasses], &sums_.back()}) {
    *sum = std::clamp(*sum + ratio, 0.0, kMaxSum);
  }
}

void evidence::AddLateSample(uint32_t route, millis now) {
  AddSample(route, LatencyRatio(latency_grade::kExtreme), now);
}

void evidence::UpdateFailureShares(outcome_kind kind) {
  const bool failed = kind != outcome_kind::kOk;
  const bool unanswered =
      kind == outcome_kind::kTimeout || kind == outcome_kind::kRefused;
  failure_share_ += kLatestWeight * ((failed ? 1.0 : 0.0) - failure_share_);
  unanswered_share_ +=
      kLatestWeight * ((unanswered ? 1.0 : 0.0) - unanswered_share_);
}

}  // namespace peridotarch
