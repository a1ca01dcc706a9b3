#ifndef REQUEST_REQUEST_VERDICT_H_
#define REQUEST_REQUEST_VERDICT_H_

#include "core/verdict.h"

namespace peridotarch {

/// What the replying node knows about other submissions of the same request.
enum class key_ownership {
  kNoKey,    ///< No key, or the route ignores keys: each submission is its own
             ///< request.
  kHeld,     ///< This submission holds the key's claim; no other may run.
  kUnknown,  ///< Another submission of the key may run or may have run.
};

/// Returns the verdict on the request for the caller, when `attempts` is the
/// combined verdict on this submission's attempts.
verdict RequestVerdict(verdict attempts, key_ownership key);

/// Returns the combined verdict on two attempts of one submission.
verdict CombineVerdicts(verdict first, verdict second);

}  // namespace peridotarch

#endif  // REQUEST_REQUEST_VERDICT_H_
