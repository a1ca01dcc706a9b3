#include "request/retry.h"

#include "request/retry_budget.h"

namespace peridotarch {

// The budget is checked last, so that only a retry that is made is charged.
retry_decision DecideRetry(const retry_context& context, retry_budget& budget) {
  if (context.attempts == verdict::kRan) {
    return retry_decision::kDone;
  }
  if (context.attempts != verdict::kNotRun && !context.idempotent) {
    return retry_decision::kMightRunTwice;
  }
  if (context.retries_made >= context.retries_allowed) {
    return retry_decision::kAttemptsSpent;
  }
  if (context.time_left <= context.attempt_time) {
    return retry_decision::kNoTime;
  }
  if (context.shed_everywhere) {
    return retry_decision::kShedEverywhere;
  }
  if (!budget.TakeRetry()) {
    return retry_decision::kNoBudget;
  }
  return retry_decision::kRetry;
}

}  // namespace peridotarch
