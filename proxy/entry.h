#ifndef PROXY_ENTRY_H_
#define PROXY_ENTRY_H_

#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/http_client.h"
#include "proxy/call.h"

namespace peridotarch {

struct node;

/// Takes a caller's request, whose head was checked, through route, limit and
/// owner to its result.
awaitable<call_result> RunRequest(node& here, block_request request);

}  // namespace peridotarch

#endif  // PROXY_ENTRY_H_
