#ifndef BALANCE_ANSWER_CLASSIFICATION_H_
#define BALANCE_ANSWER_CLASSIFICATION_H_

#include "balance/instance.h"
#include "core/verdict.h"
#include "request/attempt.h"

namespace peridotarch {

/// What the head of an instance's whole answer says.
struct answer_facts {
  int status = 0;
  bool has_digest = false;    ///< Carries the instance's digest of its body.
  bool not_executed = false;  ///< States that the request did not run.
  bool has_content_encoding =
      false;  ///< The body is not the bytes that were asked.
};

/// What follows from an answer.
struct answer_classification {
  attempt_outcome outcome = attempt_outcome::kOk;
  verdict run_verdict = verdict::kRan;
  bool is_deliverable = false;  ///< The caller may get this answer as it is.
};

/// Judges a whole answer to one's own request.
answer_classification ClassifyAnswer(const answer_facts& facts);

/// Returns what an attempt without a whole answer says of the instance;
/// `kept` says that it went on a connection that had been idle.
attempt_outcome OutcomeWithoutAnswer(const attempt_summary& end, bool kept);

}  // namespace peridotarch

#endif  // BALANCE_ANSWER_CLASSIFICATION_H_
