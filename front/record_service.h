#ifndef FRONT_RECORD_SERVICE_H_
#define FRONT_RECORD_SERVICE_H_

#include "platform/awaitable.h"
#include "platform/http_client.h"

namespace peridotarch {

struct front_node;
class http_session;

/// Answers another node's read of the store's records from the mirror of
/// `node`. Returns false if the connection is of no more use.
awaitable<bool> ServeRecords(front_node& node, http_session& session,
                             const http_request& request);

}  // namespace peridotarch

#endif  // FRONT_RECORD_SERVICE_H_
