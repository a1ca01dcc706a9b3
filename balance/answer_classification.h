#ifndef BALANCE_ANSWER_CLASSIFICATION_H_
#define BALANCE_ANSWER_CLASSIFICATION_H_

#include "balance/instance.h"
#include "core/verdict.h"
#include "request/attempt.h"

namespace peridotarch {

/// Facts from the head of a complete answer.
struct answer_facts {
  int status = 0;
  bool has_digest = false;    ///< Carries the instance's digest of the body.
  bool not_executed = false;  ///< States that the request did not run.
  /// The body is encoded, so it is not the bytes that were asked for.
  bool has_content_encoding = false;
};

/// What an answer means for the instance, the retries and the caller.
struct answer_classification {
  attempt_outcome outcome = attempt_outcome::kOk;
  verdict run_verdict = verdict::kRan;
  bool is_deliverable = false;  ///< The caller may get it unchanged.
};

/// Classifies a complete answer to a request of this node.
answer_classification ClassifyAnswer(const answer_facts& facts);

/// Returns what an attempt without a complete answer shows about the instance.
/// `is_reused_connection` says that its connection had been idle before.
attempt_outcome OutcomeWithoutAnswer(const attempt_summary& end,
                                     bool is_reused_connection);

}  // namespace peridotarch

#endif  // BALANCE_ANSWER_CLASSIFICATION_H_
