#include "request/attempt.h"

namespace peridotarch {

// Each rule is a proof; what none of them proves may have run.
//  * No byte left: nothing can have started. A refusal is no proof by itself,
//    as the same error may come late on a connection that carried bytes.
//  * A whole answer without the shed mark: it ran.
//  * A whole answer with the shed mark, or an acknowledged cancellation before
//    the start: the instance promises that it never runs.
// A shed mark on a truncated answer proves nothing: the head may be the rest of
// another exchange. "Finished" proves a run, yet not its answer, so it stays
// may_have_run: the caller still lacks the outcome.
verdict JudgeAttempt(const attempt_summary& end) {
  if (end.written == write_progress::kNothing) {
    return verdict::kNotRun;
  }
  const bool whole = end.read == read_progress::kWhole &&
                     end.ended == attempt_end_cause::kAnswered;
  if (whole) {
    return end.shed ? verdict::kNotRun : verdict::kRan;
  }
  if (end.cancel == cancel_answer::kNotStarted) {
    return verdict::kNotRun;
  }
  return verdict::kMayHaveRun;
}

// An answer on a connection that carried nothing belongs to another exchange.
reason ReasonOf(const attempt_summary& end) {
  const bool gave_up = end.ended == attempt_end_cause::kTimeout ||
                       end.ended == attempt_end_cause::kCancelled;
  if (end.written == write_progress::kNothing) {
    return gave_up ? reason::kDeadlineExpired : reason::kUpstreamRefused;
  }
  if (gave_up) {
    return reason::kUpstreamTimeout;
  }
  if (end.ended == attempt_end_cause::kMalformed) {
    return reason::kUpstreamMalformed;
  }
  if (end.ended == attempt_end_cause::kAnswered &&
      end.read == read_progress::kWhole) {
    return end.shed ? reason::kUpstreamShed : reason::kAnswered;
  }
  return end.read == read_progress::kNothing ? reason::kUpstreamReset
                                             : reason::kUpstreamTruncated;
}

}  // namespace peridotarch
