#include "request/attempt.h"

namespace peridotarch {

// kNotRun and kRan each need one of these proofs; otherwise the request may
// have run.
//  * No byte was written: the request cannot have started. A refused connection
//    alone proves nothing, because the same error can arrive late on a
//    connection that has carried bytes.
//  * A whole answer without the shed mark: the request ran.
//  * A whole answer with the shed mark, or a cancellation that the instance
//    acknowledged before the start: the instance promises never to run it.
// A shed mark on a truncated answer proves nothing, because the head may be the
// rest of another exchange. A cancellation answered with kFinished proves that
// the request ran, but the verdict stays kMayHaveRun because the caller still
// lacks the outcome.
verdict JudgeAttempt(const attempt_summary& attempt) {
  if (attempt.written == write_progress::kNothing) {
    return verdict::kNotRun;
  }
  const bool whole = attempt.read == read_progress::kWhole &&
                     attempt.ended == attempt_end_cause::kAnswered;
  if (whole) {
    return attempt.shed ? verdict::kNotRun : verdict::kRan;
  }
  if (attempt.cancel == cancel_answer::kNotStarted) {
    return verdict::kNotRun;
  }
  return verdict::kMayHaveRun;
}

// If nothing was written, any answer that was read belongs to another exchange.
reason ReasonOf(const attempt_summary& attempt) {
  const bool gave_up = attempt.ended == attempt_end_cause::kTimeout ||
                       attempt.ended == attempt_end_cause::kCancelled;
  if (attempt.written == write_progress::kNothing) {
    return gave_up ? reason::kDeadlineExpired : reason::kUpstreamRefused;
  }
  if (gave_up) {
    return reason::kUpstreamTimeout;
  }
  if (attempt.ended == attempt_end_cause::kMalformed) {
    return reason::kUpstreamMalformed;
  }
  if (attempt.ended == attempt_end_cause::kAnswered &&
      attempt.read == read_progress::kWhole) {
    return attempt.shed ? reason::kUpstreamShed : reason::kAnswered;
  }
  return attempt.read == read_progress::kNothing ? reason::kUpstreamReset
                                                 : reason::kUpstreamTruncated;
}

}  // namespace peridotarch
