#include "balance/answer_classification.h"

namespace peridotarch {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServerFailure = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsSuccess(int status) { return status / 100 == 2; }

// To a caller these statuses promise that the request has not run.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

answer_classification NotRun(int status) {
  answer_classification ruling;
  ruling.run_verdict = verdict::kNotRun;
  ruling.outcome = attempt_outcome::kUnknown;
  if (status == kMisdirected) {
    ruling.outcome = attempt_outcome::kMoved;
  } else if (status == kUnavailable || status == kTooManyRequests) {
    ruling.outcome = attempt_outcome::kShed;
  }
  return ruling;
}

attempt_outcome OutcomeOfStatus(int status) {
  if (status == kGatewayTimeout) {
    return attempt_outcome::kSlow;
  }
  return status >= kServerFailure ? attempt_outcome::kFailed
                                  : attempt_outcome::kOk;
}

}  // namespace

answer_classification ClassifyAnswer(const answer_facts& facts) {
  if (facts.not_executed || facts.status == kMisdirected) {
    return NotRun(facts.status);
  }
  answer_classification ruling;
  if (IsSuccess(facts.status) &&
      (!facts.has_digest || facts.has_content_encoding)) {
    ruling.outcome = attempt_outcome::kBroken;
    ruling.run_verdict = verdict::kMayHaveRun;
    return ruling;
  }
  ruling.outcome = OutcomeOfStatus(facts.status);
  // The instance ran the request and still answered with a status that denies
  // it: passing that on would make a caller repeat work that has run.
  ruling.is_deliverable = !PromisesNotRun(facts.status);
  return ruling;
}

attempt_outcome OutcomeWithoutAnswer(const attempt_summary& end, bool kept) {
  switch (end.ended) {
    case attempt_end_cause::kAnswered:
      return attempt_outcome::kOk;
    case attempt_end_cause::kRefused:
      return attempt_outcome::kUnreachable;
    case attempt_end_cause::kTimeout:
      return attempt_outcome::kSlow;
    case attempt_end_cause::kCancelled:
      return attempt_outcome::kUnknown;
    case attempt_end_cause::kReset:
    case attempt_end_cause::kClosed:
    case attempt_end_cause::kMalformed:
      // A kept connection breaks when the instance has forgotten it.
      return kept && end.read == read_progress::kNothing
                 ? attempt_outcome::kUnknown
                 : attempt_outcome::kBroken;
  }
  return attempt_outcome::kUnknown;
}

}  // namespace peridotarch
