#include "front/attempt_record.h"

#include "platform/call_wire.h"

namespace peridotarch {

namespace {

constexpr millis kFailureRetryAfter(500);
// An instance that sheds although it has free slots sheds at random, so the
// next attempt may well succeed.
constexpr millis kRandomShedRetryAfter(150);

}  // namespace

answer_classification Classify(const exchange_result& result) {
  if (result.summary.ended == attempt_end_cause::kAnswered) {
    return ClassifyAnswer(ReadFacts(result.answer));
  }
  answer_classification classification;
  classification.run_verdict = JudgeAttempt(result.summary);
  classification.outcome = OutcomeWithoutAnswer(result.summary, result.reused);
  return classification;
}

millis InstanceWorkTime(const attempt_record& attempt) {
  return millis(
      static_cast<int64_t>(static_cast<double>(attempt.latency.count()) /
                           attempt.choice.work_rounds));
}

// An attempt that had less time than a healthy instance may need says nothing
// when it runs out.
attempt_outcome HealthOutcome(const attempt_record& attempt) {
  const attempt_outcome outcome = attempt.classification.outcome;
  const bool was_cut_short = attempt.latency < attempt.choice.slow_after;
  return outcome == attempt_outcome::kSlow && was_cut_short
             ? attempt_outcome::kUnknown
             : outcome;
}

// A draining node shortens deadlines, so another node may have the time that
// this one lacked.
reason FailureReason(const attempt_record& attempt, bool is_draining) {
  if (attempt.result.withdrawn) {
    return reason::kNoCapacity;
  }
  if (attempt.result.summary.ended != attempt_end_cause::kAnswered) {
    const reason why = ReasonOf(attempt.result.summary);
    return why == reason::kDeadlineExpired && is_draining
               ? reason::kShuttingDown
               : why;
  }
  return attempt.classification.run_verdict == verdict::kNotRun
             ? reason::kUpstreamShed
             : reason::kUpstreamMalformed;
}

millis RetryAfterFailure(const attempt_record& attempt, reason why) {
  const bool had_room =
      attempt.choice.in_flight < attempt.choice.instance.slots;
  return why == reason::kUpstreamShed && had_room ? kRandomShedRetryAfter
                                                  : kFailureRetryAfter;
}

}  // namespace peridotarch
