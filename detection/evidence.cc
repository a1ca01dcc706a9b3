#include "detection/evidence.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

/// Share of a healthy peer's answers in each grade and of a sick one's.
constexpr std::array<double, 4> kHealthyShare = {0.50, 0.40, 0.09, 0.01};
constexpr std::array<double, 4> kSickShare = {0.10, 0.25, 0.25, 0.40};

/// Failures of a peer are taken for no rarer than this.
constexpr double kLeastFailures = 0.01;
constexpr double kMostFailures = 0.60;
constexpr double kSickFailures = 0.30;
/// A sick instance fails at least so many times more often than its peers.
constexpr double kFailureFactor = 1.5;

constexpr double kProbeRatio = 1.5;
constexpr double kMostFromProbes = 6.0;
constexpr double kShareStep = 0.05;
constexpr int64_t kMeanWeight = 8;
constexpr double kHighestSum = 60.0;
constexpr millis kFadeAfter(2'000);
constexpr double kFadeFactor = 0.9;

double Ratio(latency_grade grade) {
  const auto i = static_cast<size_t>(grade);
  return std::log(kSickShare[i] / kHealthyShare[i]);
}

double FailureRatio(bool failed, const peer_baseline& peers) {
  const double healthy = std::clamp(peers.FailureShare() * kFailureFactor,
                                    kLeastFailures, kMostFailures);
  const double sick = std::max(kSickFailures, (1 + healthy) / 2);
  const double sick_share = healthy < kSickFailures / 2 ? kSickFailures : sick;
  return failed ? std::log(sick_share / healthy)
                : std::log((1 - sick_share) / (1 - healthy));
}

}  // namespace

void evidence::OnStart(uint64_t attempt, uint32_t route, millis now) {
  in_flight_.push_back({attempt, route, now, false});
}

// The time that a failure took says little, so only answers are graded.
void evidence::OnOutcome(uint64_t attempt, const outcome& ended,
                         const peer_baseline& peers, millis now) {
  bool weighed = false;
  std::erase_if(in_flight_, [&](const in_flight& each) {
    weighed = weighed || (each.attempt == attempt && each.weighed);
    return each.attempt == attempt;
  });
  refused_in_a_row_ =
      ended.kind == outcome_kind::kRefused ? refused_in_a_row_ + 1 : 0;
  CountFailure(ended.kind);
  const bool failed = ended.kind != outcome_kind::kOk;
  double ratio = FailureRatio(failed, peers);
  if (failed) {
    good_ = 0;
    Add(ended.route, ratio, now);
    return;
  }
  recent_us_ += (ended.latency_us - recent_us_) / kMeanWeight;
  latency_grade grade = latency_grade::kUsual;
  if (peers.ready()) {
    peers_us_ = peers.median_us();
    grade = peers.Grade(ended.latency_us);
    ratio += weighed ? 0.0 : Ratio(grade);
  }
  good_ = grade == latency_grade::kExtreme ? 0 : good_ + 1;
  Add(ended.route, ratio, now);
}

// Probes lie: a good one clears nothing, and bad ones alone can raise a
// suspicion but not an ejection.
void evidence::OnProbe(bool answered, millis now) {
  if (answered) {
    return;
  }
  double& all = sums_.back();
  if (all < kMostFromProbes) {
    all = std::min(all + kProbeRatio, kMostFromProbes);
  }
  last_sample_ = now;
}

void evidence::Fade(millis now) {
  if (now - last_sample_ < kFadeAfter) {
    return;
  }
  last_sample_ = now - kFadeAfter / 2;
  for (double& sum : sums_) {
    sum *= kFadeFactor;
  }
}

void evidence::Cap(double most) {
  for (double& sum : sums_) {
    sum = std::min(sum, most);
  }
}

void evidence::Restart() {
  sums_.fill(0);
  good_ = 0;
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
  if (silent_share_ > failure_share_ / 2 && failure_share_ > 0) {
    text += " without an answer";
  }
  if (peers_us_ > 0) {
    text += ", " + std::to_string(recent_us_ / 1000) + " ms against " +
            std::to_string(peers_us_ / 1000) + " ms of peers";
  }
  return text + ", " + std::to_string(in_flight_.size()) + " out";
}

void evidence::Add(uint32_t route, double ratio, millis now) {
  last_sample_ = now;
  for (double* sum : {&sums_[route % kRouteClasses], &sums_.back()}) {
    *sum = std::clamp(*sum + ratio, 0.0, kHighestSum);
  }
}

void evidence::AddLate(uint32_t route, millis now) {
  Add(route, Ratio(latency_grade::kExtreme), now);
}

void evidence::CountFailure(outcome_kind kind) {
  const bool failed = kind != outcome_kind::kOk;
  const bool silent =
      kind == outcome_kind::kTimeout || kind == outcome_kind::kRefused;
  failure_share_ += kShareStep * ((failed ? 1.0 : 0.0) - failure_share_);
  silent_share_ += kShareStep * ((silent ? 1.0 : 0.0) - silent_share_);
}

}  // namespace peridotarch
