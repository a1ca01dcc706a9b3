#include "balance/answer_classification.h"

namespace peridotarch {

namespace {

constexpr int kClientErrorClass = 4;  // 4xx
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsSuccess(int status) { return status / 100 == 2; }

// Callers take these statuses as a promise that the request has not run.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

// An instance that rejects a request answers with one of these. A success, an
// error in the work or a timeout is an answer of a request that ran, whatever
// else its head states.
bool MayRejectRequest(int status) {
  return status / 100 == kClientErrorClass || status == kUnavailable;
}

answer_classification NotRun(int status) {
  answer_classification result;
  result.run_verdict = verdict::kNotRun;
  result.outcome = attempt_outcome::kUnknown;
  if (status == kMisdirected) {
    result.outcome = attempt_outcome::kMoved;
  } else if (status == kUnavailable || status == kTooManyRequests) {
    result.outcome = attempt_outcome::kShed;
  }
  return result;
}

attempt_outcome OutcomeOfStatus(int status) {
  if (status == kGatewayTimeout) {
    return attempt_outcome::kSlow;
  }
  return status >= kServerError ? attempt_outcome::kFailed
                                : attempt_outcome::kOk;
}

}  // namespace

answer_classification ClassifyAnswer(const answer_facts& facts) {
  if ((facts.not_executed && MayRejectRequest(facts.status)) ||
      facts.status == kMisdirected) {
    return NotRun(facts.status);
  }
  answer_classification result;
  if (IsSuccess(facts.status) &&
      (!facts.has_digest || facts.has_content_encoding || facts.not_executed)) {
    result.outcome = attempt_outcome::kBroken;
    result.run_verdict = verdict::kMayHaveRun;
    return result;
  }
  result.outcome = OutcomeOfStatus(facts.status);
  // The instance ran the request but answered with a status that says it did
  // not. A caller that got this status would repeat work that has run.
  result.is_deliverable = !PromisesNotRun(facts.status);
  return result;
}

attempt_outcome OutcomeWithoutAnswer(const attempt_summary& end,
                                     bool is_reused_connection) {
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
      // The instance may have closed an idle connection before it got the
      // request, which is no fault of the instance.
      return is_reused_connection && end.read == read_progress::kNothing
                 ? attempt_outcome::kUnknown
                 : attempt_outcome::kBroken;
  }
  return attempt_outcome::kUnknown;
}

}  // namespace peridotarch
