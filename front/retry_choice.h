#ifndef FRONT_RETRY_CHOICE_H_
#define FRONT_RETRY_CHOICE_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// Whether a request is retried at another instance after an attempt, and if
/// not, why.
enum class retry_choice {
  kRetry,         ///< The request goes to another instance.
  kAnswered,      ///< The caller gets the answer of the attempt.
  kMayHaveRun,    ///< Not idempotent, and an attempt may have run.
  kCallerLeft,    ///< The caller has disconnected.
  kNoTime,        ///< The deadline is too close for another attempt.
  kAttemptsUsed,  ///< The route allows no further attempt.
  kBudgetUsed,    ///< The service's retry budget is used up.
};

// The log lines keep "repeat" as the name of kRetry.
template <>
struct names_of<retry_choice> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "repeat",  "answered",      "may_have_run", "caller_left",
      "no_time", "attempts_used", "budget_used"};
};

}  // namespace peridotarch

#endif  // FRONT_RETRY_CHOICE_H_
