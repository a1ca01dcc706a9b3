#ifndef BALANCE_REQUEST_DEADLINES_H_
#define BALANCE_REQUEST_DEADLINES_H_

#include <optional>

#include "core/millis.h"

namespace peridotarch {

/// No instance answers in less.
inline constexpr millis kMinAttemptTime(10);

/// The deadlines of one request, as times of the boot clock.
struct request_deadlines {
  millis work_until;  ///< The instance stops working on it.
  millis answer_by;   ///< The answer to the caller is sent.
};

/// Returns the deadlines of a request that was read at `read_at`.
/// `caller_timeout` is how long its caller waits, if the caller states it.
request_deadlines DeadlinesFor(millis read_at, millis route_timeout,
                               std::optional<millis> caller_timeout);

/// The times of a node's shutdown, by the boot clock: when the balancer sends
/// no more new callers, and when the process ends.
struct shutdown_times {
  millis balancer_noticed_at;
  millis stops_at;
};

/// Returns `deadlines` capped for a node that is shutting down, so that every
/// request it has forwarded ends before the process does, at `stops_at`.
request_deadlines CapDeadlines(millis stops_at, request_deadlines deadlines);

/// Returns the capped deadlines of a request that a node takes at `now` while
/// it shuts down, or nothing if it refuses the request, so that the caller goes
/// to another node. `objective` is the latency objective of the request.
std::optional<request_deadlines> AdmitAtShutdown(const shutdown_times& times,
                                                 request_deadlines deadlines,
                                                 millis objective, millis now);

}  // namespace peridotarch

#endif  // BALANCE_REQUEST_DEADLINES_H_
