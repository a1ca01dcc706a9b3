#ifndef FRONT_RECORD_WAIT_H_
#define FRONT_RECORD_WAIT_H_

#include "platform/awaitable.h"

namespace peridotarch {

struct caller_request;
struct front_node;

/// Waits while the process is starting and has no records of the store yet.
/// Ends after a fraction of a second, or when the caller has left.
awaitable<void> WaitForRecords(const front_node& node,
                               const caller_request& caller);

}  // namespace peridotarch

#endif  // FRONT_RECORD_WAIT_H_
