#ifndef FRONT_CALLER_REQUEST_H_
#define FRONT_CALLER_REQUEST_H_

#include <memory>

#include "front/connection_pool.h"
#include "front/front_node.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/http_client.h"

namespace peridotarch {

/// State of one caller's request, which the connection's session shares with
/// the coroutine that serves the request.
struct caller_request {
  millis arrived_at;      ///< When its bytes had been received.
  int queued_behind = 0;  ///< Unanswered requests before it on its connection.
  bool caller_left = false;
  bool idempotent = false;
  std::shared_ptr<exchange_control> exchange;  ///< The attempt in progress.
  /// Memory of the answer until it is written.
  std::shared_ptr<memory_reservation> answer_memory;

  /// Called when the caller has disconnected. Nothing more is sent for the
  /// request. The attempt in progress is cancelled if the request is
  /// idempotent or not yet sent; otherwise the attempt goes on, since its
  /// instance cannot undo what it has begun.
  void OnCallerLeft();
};

/// Serves one request: chooses instances, sends the request, retries it where
/// that is allowed, and returns the answer for the caller.
awaitable<http_response> ServeRequest(front_node& node, block_request request,
                                      caller_request& state);

}  // namespace peridotarch

#endif  // FRONT_CALLER_REQUEST_H_
