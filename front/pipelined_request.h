#ifndef FRONT_PIPELINED_REQUEST_H_
#define FRONT_PIPELINED_REQUEST_H_

#include <optional>

#include "front/caller_request.h"

namespace peridotarch {

/// A caller's request from when it was read until its answer is written.
struct pipelined_request {
  block_request request;
  caller_request state;
  bool keep_alive = true;  ///< The caller may send further requests.
  bool is_idempotent = false;
  bool is_started = false;
  std::optional<http_response> answer;
};

}  // namespace peridotarch

#endif  // FRONT_PIPELINED_REQUEST_H_
