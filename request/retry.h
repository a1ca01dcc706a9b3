#ifndef REQUEST_RETRY_H_
#define REQUEST_RETRY_H_

#include <array>
#include <string_view>

#include "core/millis.h"
#include "core/names.h"
#include "core/verdict.h"

namespace peridotarch {

class retry_budget;

/// Whether a request is retried, or why not.
enum class retry_decision {
  kRetry,
  kDone,            ///< A whole answer is known.
  kMightRunTwice,   ///< A retry might run a non-idempotent request twice.
  kAttemptsSpent,   ///< The route's retries are used up.
  kNoTime,          ///< The deadline leaves no room for another attempt.
  kShedEverywhere,  ///< All instances or shards shed it; a retry adds load.
  kNoBudget,        ///< The service's retry budget is used up.
};

// "may_repeat" stays as the outer name of kMightRunTwice.
template <>
struct names_of<retry_decision> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "retry",           "done",     "may_repeat", "attempts_spent", "no_time",
      "shed_everywhere", "no_budget"};
};

/// What is known when an attempt has ended.
struct retry_context {
  verdict attempts = verdict::kMayHaveRun;  ///< On all attempts so far.
  bool idempotent = false;
  int retries_made = 0;
  int retries_allowed = 0;  ///< Retries allowed by the route's rule.
  millis time_left;         ///< Until the deadline.
  millis attempt_time;      ///< Expected time of an attempt.
  bool shed_everywhere = false;
};

/// Decides whether to retry, and takes the retry from the budget.
retry_decision DecideRetry(const retry_context& context, retry_budget& budget);

}  // namespace peridotarch

#endif  // REQUEST_RETRY_H_
