#include "front/record_wait.h"

#include "front/caller_request.h"
#include "front/front_node.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace {

// A process that starts has the records sooner than a refused caller could
// return.
constexpr millis kMaxStartTime(400);
constexpr millis kPollInterval(5);

}  // namespace

// After a restart of all nodes, their callers connect at the same moment.
awaitable<void> WaitForRecords(const front_node& node,
                               const caller_request& caller) {
  while (!(node.HasRecords() && node.IsConfigConfirmed() &&
           node.CanServeTeams()) &&
         !node.draining && !caller.caller_left &&
         boot_clock::Now() - node.started_at < kMaxStartTime) {
    co_await Sleep(node.context.get_executor(), kPollInterval);
  }
}

}  // namespace peridotarch
