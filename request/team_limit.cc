#include "request/team_limit.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotarch {

namespace {

constexpr int64_t kMicrosPerMilli = 1'000;
constexpr double kMicrosPerSecond = 1e6;
// Part of the limit that is divided equally, so that a node without requests in
// the last period can admit some in the next.
constexpr double kEqualPart = 0.1;

}  // namespace

team_bucket::team_bucket(int rate, int burst) : rate_(rate), burst_(burst) {
  SetShare(1, millis());
}

// A share of the burst below one request is rounded up to one, or the node
// could admit nothing. Earlier charges still count as the same number of
// requests under the new share, so the time that they take is rescaled.
void team_bucket::SetShare(double share, millis now) {
  const double interval = kMicrosPerSecond / (rate_ * share);
  const double burst = std::max(1.0, burst_ * share);
  const int64_t new_interval = std::llround(interval);
  const int64_t old_interval =
      interval_us_.exchange(new_interval, std::memory_order_relaxed);
  tolerance_us_.store(std::llround(interval * (burst - 1)),
                      std::memory_order_relaxed);
  const int64_t now_us = now.count() * kMicrosPerMilli;
  int64_t full_at = full_at_us_.load(std::memory_order_relaxed);
  while (old_interval > 0 && full_at > now_us) {
    const double charged = static_cast<double>(full_at - now_us) /
                           static_cast<double>(old_interval);
    const int64_t scaled = now_us + std::llround(charged * interval);
    if (full_at_us_.compare_exchange_weak(full_at, scaled,
                                          std::memory_order_relaxed)) {
      return;
    }
  }
}

// Generic cell rate algorithm: full_at_us_ is the time at which the bucket is
// full again. A request is admitted while that time is at most the tolerance
// ahead of the clock.
bool team_bucket::Charge(millis now) {
  demand_.fetch_add(1, std::memory_order_relaxed);
  const int64_t now_us = now.count() * kMicrosPerMilli;
  const int64_t interval = interval_us_.load(std::memory_order_relaxed);
  const int64_t tolerance = tolerance_us_.load(std::memory_order_relaxed);
  int64_t full_at = full_at_us_.load(std::memory_order_relaxed);
  for (;;) {
    const int64_t start = std::max(full_at, now_us);
    if (start - now_us > tolerance) {
      return false;
    }
    if (full_at_us_.compare_exchange_weak(full_at, start + interval,
                                          std::memory_order_relaxed)) {
      return true;
    }
  }
}

uint64_t team_bucket::TakeDemand() {
  return demand_.exchange(0, std::memory_order_relaxed);
}

millis team_bucket::RetryAfter(millis now) const {
  const int64_t now_us = now.count() * kMicrosPerMilli;
  const int64_t wait = full_at_us_.load(std::memory_order_relaxed) -
                       tolerance_us_.load(std::memory_order_relaxed) - now_us;
  return millis(std::max<int64_t>(0, wait) / kMicrosPerMilli + 1);
}

double ShareByDemand(double own, double total, int nodes) {
  const double equal = EqualShare(nodes);
  const double by_demand = total > 0 ? own / total : equal;
  return kEqualPart * equal + (1 - kEqualPart) * by_demand;
}

std::vector<double> DivideByDemand(std::span<const uint64_t> demand) {
  const double total = std::accumulate(demand.begin(), demand.end(), 0.0,
                                       [](double sum, uint64_t part) {
                                         return sum + static_cast<double>(part);
                                       });
  std::vector<double> shares;
  shares.reserve(demand.size());
  for (const uint64_t part : demand) {
    shares.push_back(ShareByDemand(static_cast<double>(part), total,
                                   static_cast<int>(demand.size())));
  }
  return shares;
}

double EqualShare(int nodes) { return 1.0 / std::max(nodes, 1); }

}  // namespace peridotarch
