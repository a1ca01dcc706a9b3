#ifndef BALANCE_REQUEST_DEADLINES_H_
#define BALANCE_REQUEST_DEADLINES_H_

#include <optional>

#include "core/millis.h"

namespace peridotarch {

/// Until when a request is worked on.
struct request_deadlines {
  millis work_until;  ///< The instance stops work.
  millis answer_by;   ///< The caller's answer leaves.
};

/// Returns the times of a request that was read at `begun`; `caller_waits` is
/// the time that its caller allows, if it says so.
request_deadlines DeadlinesFor(millis begun, millis route_timeout,
                               std::optional<millis> caller_waits);

/// Returns the times of a request that a node takes while it stops: what it
/// has passed on has ended by itself when the process ends at `stops_at`.
request_deadlines CapDeadlines(millis stops_at, request_deadlines times);

}  // namespace peridotarch

#endif  // BALANCE_REQUEST_DEADLINES_H_
