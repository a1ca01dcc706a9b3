#include "admission/admission_order.h"

#include <algorithm>

namespace peridotarch {

namespace {

// Share of the available time that the expected answer may take. It shrinks
// with each step of priority, so that the least urgent requests are refused
// first. Longer queues do not raise the throughput of an overloaded service;
// they only make all its answers late.
constexpr double kTimeShare = 0.9;
constexpr double kPriorityStep = 0.1;
constexpr int kMaxPrioritySteps = 3;
// Among requests of one priority, those with much work are refused first, as
// each of them takes the room of several others. The step is below that of a
// priority, so that a more urgent request never goes first.
constexpr double kWorkStep = 0.09;
// Priorities above kMaxPrioritySteps share what one step leaves.
constexpr double kLowPriorityStep = 0.01;
constexpr double kLowWorkStep = 0.009;
constexpr int kMaxLowSteps = 6;
constexpr double kLittleWork = 0.5;  // of the mean
// A request that is likely to be late is worth less to its caller than one that
// is answered in time. Only the least urgent are refused for that.
constexpr double kObjectivePart = 0.95;
// Work times vary: with half of the objective expected, most answers are in
// time, and a free instance elsewhere would serve the caller no better.
constexpr double kStayPart = 0.5;

// Returns 0 for requests with little work and 1 for those with much.
double WorkRank(const admission_request& request) {
  if (request.mean_work_ms <= 0) {
    return 0;
  }
  return std::clamp(request.work_ms / request.mean_work_ms - kLittleWork, 0.0,
                    1.0);
}

}  // namespace

admission_limit LimitOf(const admission_request& request, admission_mode mode) {
  const int steps = std::min(request.priority, kMaxPrioritySteps);
  admission_limit limit;
  limit.time_share = kTimeShare - kPriorityStep * steps;
  if (mode == admission_mode::kPriority) {
    return limit;
  }
  const int low_steps =
      std::clamp(request.priority - kMaxPrioritySteps, 0, kMaxLowSteps);
  limit.time_share -= kLowPriorityStep * low_steps;
  limit.time_share -= (steps < kMaxPrioritySteps ? kWorkStep : kLowWorkStep) *
                      WorkRank(request);
  if (request.is_least_urgent) {
    limit.objective_ms = kObjectivePart * request.objective_ms;
  }
  return limit;
}

bool StaysInZone(double expected_ms, double objective_ms, admission_mode mode) {
  return mode == admission_mode::kValue &&
         expected_ms <= kStayPart * objective_ms;
}

}  // namespace peridotarch
