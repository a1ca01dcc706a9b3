#ifndef FRONT_CALLER_REQUEST_H_
#define FRONT_CALLER_REQUEST_H_

#include <memory>

#include "front/connection_pool.h"
#include "front/front_node.h"
#include "platform/awaitable.h"
#include "platform/http_client.h"

namespace peridotarch {

/// One request of a caller while it is served.
struct caller_request {
  bool caller_left = false;
  bool finished = false;
  bool idempotent = false;
  std::shared_ptr<exchange_control> exchange;  ///< The attempt in progress.

  /// The caller is gone: nothing more is sent for it, and an attempt that is
  /// idempotent or not yet sent is ended. Others run on, since their instance
  /// cannot undo what it has begun.
  void OnCallerLeft();
};

/// Serves one request: chooses instances, sends, repeats where that is
/// allowed, and returns the answer for the caller.
awaitable<http_response> ServeRequest(front_node& here, http_request request,
                                      caller_request& call);

}  // namespace peridotarch

#endif  // FRONT_CALLER_REQUEST_H_
