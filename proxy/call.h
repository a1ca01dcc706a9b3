#ifndef PROXY_CALL_H_
#define PROXY_CALL_H_

#include <memory>

#include "core/millis.h"
#include "core/verdict.h"
#include "platform/http_client.h"
#include "request/reason.h"

namespace peridotarch {

class memory_reservation;

/// How a request ended, at an entry node or at the owner of a shard.
struct call_result {
  reason why = reason::kAnswered;
  verdict run_verdict = verdict::kNotRun;
  http_response answer;  ///< The upstream's, when `why` is kAnswered.
  millis retry_after;    ///< When the reply carries Retry-After.
  int key_status = 0;    ///< Status that the key's run had, if known.
  /// The part of `answer` in the node's memory.
  std::shared_ptr<memory_reservation> answer_memory;
};

/// Returns a result without an upstream's answer, with the verdict that goes
/// with the reason.
call_result Refusal(reason why, millis retry_after = millis(0));

}  // namespace peridotarch

#endif  // PROXY_CALL_H_
