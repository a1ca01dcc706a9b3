#include "request/retry.h"

#include "request/retry_budget.h"

namespace peridotarch {

// The budget comes last, so that only a retry that is made is paid for.
retry_decision DecideRetry(const retry_context& known, retry_budget& budget) {
  if (known.attempts == verdict::kRan) {
    return retry_decision::kDone;
  }
  if (known.attempts != verdict::kNotRun && !known.idempotent) {
    return retry_decision::kMightRunTwice;
  }
  if (known.retries_made >= known.retries_allowed) {
    return retry_decision::kAttemptsSpent;
  }
  if (known.time_left <= known.attempt_time) {
    return retry_decision::kNoTime;
  }
  if (known.shed_everywhere) {
    return retry_decision::kShedEverywhere;
  }
  if (!budget.TakeRetry()) {
    return retry_decision::kNoBudget;
  }
  return retry_decision::kRetry;
}

}  // namespace peridotarch
