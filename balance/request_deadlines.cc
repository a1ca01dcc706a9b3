#include "balance/request_deadlines.h"

#include <algorithm>

namespace peridotarch {

namespace {

// Instances stop work when the route's time is over and say so; their word
// arrives a little later.
constexpr millis kAnswerMargin(40);
// An answer that leaves later does not reach the caller before it gives up.
constexpr millis kReturnMargin(30);
// Of a node that stops: for the instance's word that the time is over, and for
// the answer to the caller. Estimates: links take a few milliseconds, and a
// lossy one some hundred.
constexpr millis kLastWorkMargin(300);
constexpr millis kLastAnswerMargin(50);

}  // namespace

request_deadlines DeadlinesFor(millis begun, millis route_timeout,
                               std::optional<millis> caller_waits) {
  request_deadlines times;
  times.work_until =
      begun + std::min(route_timeout, caller_waits.value_or(route_timeout));
  times.answer_by = begun + route_timeout + kAnswerMargin;
  if (caller_waits) {
    times.answer_by =
        std::min(times.answer_by, begun + *caller_waits - kReturnMargin);
  }
  return times;
}

request_deadlines CapDeadlines(millis stops_at, request_deadlines times) {
  times.work_until = std::min(times.work_until, stops_at - kLastWorkMargin);
  times.answer_by = std::min(times.answer_by, stops_at - kLastAnswerMargin);
  return times;
}

}  // namespace peridotarch
