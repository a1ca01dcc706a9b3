#ifndef FRONT_ATTEMPT_RECORD_H_
#define FRONT_ATTEMPT_RECORD_H_

#include "balance/answer_classification.h"
#include "balance/instance_selector.h"
#include "core/millis.h"
#include "front/connection_pool.h"
#include "request/reason.h"

namespace peridotarch {

/// One attempt at one instance.
struct attempt_record {
  instance_choice choice;
  millis time_left;  ///< From the choice until the work deadline.
  exchange_result result;
  answer_classification classification;
  millis latency;
};

/// Returns what the end of the exchange proves.
answer_classification Classify(const exchange_result& result);

/// Returns the instance's time for this attempt alone: the latency of a request
/// that queues behind others includes their work.
millis InstanceWorkTime(const attempt_record& attempt);

/// Returns what the attempt says of the instance's health.
attempt_outcome HealthOutcome(const attempt_record& attempt);

/// Returns why a request whose last attempt failed like this has failed at a
/// node that is draining or not.
reason FailureReason(const attempt_record& attempt, bool is_draining);

/// Returns when the caller may return after a refusal for `why`, on average.
millis RetryAfterFailure(const attempt_record& attempt, reason why);

}  // namespace peridotarch

#endif  // FRONT_ATTEMPT_RECORD_H_
