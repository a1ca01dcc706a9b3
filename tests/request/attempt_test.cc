#include "request/attempt.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "request/request_verdict.h"

namespace peridotarch {
namespace {

// Calls `visit` with every combination of an attempt's fields.
template <typename Visit>
void ForEachAttempt(Visit visit) {
  for (size_t w = 0; w < names_of<write_progress>::kTable.size(); ++w) {
    for (size_t r = 0; r < names_of<read_progress>::kTable.size(); ++r) {
      for (size_t e = 0; e < names_of<attempt_end_cause>::kTable.size(); ++e) {
        for (size_t c = 0; c < names_of<cancel_answer>::kTable.size(); ++c) {
          for (const bool shed : {false, true}) {
            visit(attempt_summary{static_cast<write_progress>(w),
                                  static_cast<read_progress>(r),
                                  static_cast<attempt_end_cause>(e),
                                  static_cast<cancel_answer>(c), shed});
          }
        }
      }
    }
  }
}

TEST_CASE("an attempt is judged not run only if that is proven") {
  int checked = 0;
  ForEachAttempt([&](const attempt_summary& attempt) {
    ++checked;
    const bool unwritten = attempt.written == write_progress::kNothing;
    const bool answered = attempt.read == read_progress::kWhole &&
                          attempt.ended == attempt_end_cause::kAnswered;
    const bool cancelled_in_time =
        !answered && attempt.cancel == cancel_answer::kNotStarted;
    const bool not_run =
        unwritten || (answered && attempt.shed) || cancelled_in_time;
    INFO(ToName(attempt.written)
         << ' ' << ToName(attempt.read) << ' ' << ToName(attempt.ended) << ' '
         << ToName(attempt.cancel) << " shed " << attempt.shed);
    CHECK((JudgeAttempt(attempt) == verdict::kNotRun) == not_run);
    const bool ran = !not_run && answered;
    CHECK((JudgeAttempt(attempt) == verdict::kRan) == ran);
  });
  CHECK(checked == 3 * 3 * 7 * 5 * 2);
}

TEST_CASE("a reply never claims more than its attempt proves") {
  ForEachAttempt([&](const attempt_summary& attempt) {
    INFO(ToName(attempt.written)
         << ' ' << ToName(attempt.read) << ' ' << ToName(attempt.ended));
    if (ReasonOf(attempt) == reason::kAnswered) {
      CHECK(attempt.read == read_progress::kWhole);
    }
    if (JudgeAttempt(attempt) != verdict::kNotRun) {
      CHECK(ReplyFor(ReasonOf(attempt)).run_verdict != verdict::kNotRun);
    }
  });
}

TEST_CASE("every reason has a name, a status and a verdict") {
  std::set<std::string_view> names;
  for (const std::string_view name : names_of<reason>::kTable) {
    const reason why = *FromName<reason>(name);
    names.insert(ToName(why));
    const reply_rule rule = ReplyFor(why);
    INFO(name);
    if (why == reason::kAnswered) {
      continue;
    }
    CHECK(rule.status >= 400);
    CHECK(rule.status < 600);
    // Only these two statuses tell a caller to retry later, apart from the
    // reply for a key whose attempt is still in flight.
    const bool retry_later = rule.status == 429 || rule.status == 503;
    if (retry_later) {
      CHECK(rule.retry_after);
      CHECK(rule.run_verdict == verdict::kNotRun);
    }
  }
  CHECK(names.size() == names_of<reason>::kTable.size());
}

TEST_CASE("a submission without the claim is never reported as not run") {
  CHECK(RequestVerdict(verdict::kNotRun, key_ownership::kUnknown) ==
        verdict::kMayHaveRun);
  CHECK(RequestVerdict(verdict::kNotRun, key_ownership::kHeld) ==
        verdict::kNotRun);
  CHECK(RequestVerdict(verdict::kNotRun, key_ownership::kNoKey) ==
        verdict::kNotRun);
  CHECK(RequestVerdict(verdict::kRan, key_ownership::kUnknown) ==
        verdict::kRan);
}

TEST_CASE("attempts combine to the strongest verdict that holds") {
  CHECK(CombineVerdicts(verdict::kNotRun, verdict::kNotRun) ==
        verdict::kNotRun);
  CHECK(CombineVerdicts(verdict::kNotRun, verdict::kMayHaveRun) ==
        verdict::kMayHaveRun);
  CHECK(CombineVerdicts(verdict::kMayHaveRun, verdict::kNotRun) ==
        verdict::kMayHaveRun);
  CHECK(CombineVerdicts(verdict::kMayHaveRun, verdict::kRan) == verdict::kRan);
}

}  // namespace
}  // namespace peridotarch
