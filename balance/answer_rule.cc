#include "balance/answer_rule.h"

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

answer_ruling NotRun(int status) {
  answer_ruling ruling;
  ruling.said = verdict::kNotRun;
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

answer_ruling JudgeAnswer(const answer_facts& facts) {
  if (facts.not_executed || facts.status == kMisdirected) {
    return NotRun(facts.status);
  }
  answer_ruling ruling;
  if (IsSuccess(facts.status) && (!facts.has_digest || facts.encoded)) {
    ruling.outcome = attempt_outcome::kBroken;
    ruling.said = verdict::kMayHaveRun;
    return ruling;
  }
  ruling.outcome = OutcomeOfStatus(facts.status);
  // The instance ran the request and still answered with a status that denies
  // it: passing that on would make a caller repeat work that has run.
  ruling.deliver = !PromisesNotRun(facts.status);
  return ruling;
}

attempt_outcome OutcomeOf(const attempt_end& end, bool kept) {
  switch (end.ended) {
    case attempt_ending::kAnswered:
      return attempt_outcome::kOk;
    case attempt_ending::kRefused:
      return attempt_outcome::kUnreachable;
    case attempt_ending::kTimeout:
      return attempt_outcome::kSlow;
    case attempt_ending::kCancelled:
      return attempt_outcome::kUnknown;
    case attempt_ending::kReset:
    case attempt_ending::kClosed:
    case attempt_ending::kMalformed:
      // A kept connection breaks when the instance has forgotten it.
      return kept && end.read == read_part::kNothing ? attempt_outcome::kUnknown
                                                     : attempt_outcome::kBroken;
  }
  return attempt_outcome::kUnknown;
}

}  // namespace peridotarch
