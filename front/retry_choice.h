#ifndef FRONT_RETRY_CHOICE_H_
#define FRONT_RETRY_CHOICE_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// Whether a request goes to another instance after an attempt, and if not,
/// why.
enum class retry_choice {
  kRetry,         ///< It goes to another instance.
  kAnswered,      ///< The attempt's answer is the caller's.
  kMayHaveRun,    ///< Not idempotent, and the attempt may have run.
  kCallerLeft,    ///< Nobody waits for it.
  kNoTime,        ///< The caller's time is nearly over.
  kAttemptsUsed,  ///< The route allows no further attempt.
  kBudgetUsed,    ///< The service's retry budget is used up.
};

template <>
struct names_of<retry_choice> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "repeat",  "answered",      "may_have_run", "caller_left",
      "no_time", "attempts_used", "budget_used"};
};

}  // namespace peridotarch

#endif  // FRONT_RETRY_CHOICE_H_
