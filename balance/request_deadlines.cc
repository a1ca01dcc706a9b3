#include "balance/request_deadlines.h"

#include <algorithm>

namespace peridotarch {

namespace {

// An instance stops work at the route's timeout and answers with a timeout
// status, which takes a little time to arrive.
constexpr millis kAnswerMargin(40);
// An answer that is sent later arrives after the caller has given up.
constexpr millis kReturnMargin(30);
// Margins before the end of a process that is shutting down: for the instance's
// timeout answer to arrive, and for the answer to reach the caller. Links take
// a few milliseconds, lossy ones some hundred in each direction. A request that
// arrives too late on its way extends the instance's work by that time.
constexpr millis kShutdownWorkMargin(600);
constexpr millis kShutdownAnswerMargin(50);

}  // namespace

request_deadlines DeadlinesFor(millis read_at, millis route_timeout,
                               std::optional<millis> caller_timeout) {
  request_deadlines deadlines;
  deadlines.work_until =
      read_at + std::min(route_timeout, caller_timeout.value_or(route_timeout));
  deadlines.answer_by = read_at + route_timeout + kAnswerMargin;
  if (caller_timeout) {
    deadlines.answer_by = std::min(deadlines.answer_by,
                                   read_at + *caller_timeout - kReturnMargin);
  }
  return deadlines;
}

request_deadlines CapDeadlines(millis stops_at, request_deadlines deadlines) {
  deadlines.work_until =
      std::min(deadlines.work_until, stops_at - kShutdownWorkMargin);
  deadlines.answer_by =
      std::min(deadlines.answer_by, stops_at - kShutdownAnswerMargin);
  return deadlines;
}

// Until the balancer has noticed the shutdown, a caller that is refused may
// come back to this node, so time for the objective is enough. After that, a
// request that loses a part of its time is better served elsewhere: an instance
// that stops for want of time leaves the caller with an unknown outcome.
std::optional<request_deadlines> AdmitAtShutdown(const shutdown_times& times,
                                                 request_deadlines deadlines,
                                                 millis objective, millis now) {
  const request_deadlines capped = CapDeadlines(times.stops_at, deadlines);
  const millis whole_time = deadlines.work_until - now;
  const millis needed_time =
      now >= times.balancer_noticed_at
          ? whole_time
          : std::min(whole_time, std::max(objective, kMinAttemptTime));
  if (capped.work_until - now < needed_time) {
    return std::nullopt;
  }
  return capped;
}

}  // namespace peridotarch
