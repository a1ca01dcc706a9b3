#include "balance/instance_health.h"

#include <algorithm>

namespace peridotarch {

namespace {

// A healthy instance that failed once must be tried again within two seconds,
// or too few instances of a small service stay in use.
constexpr millis kFailureHold(1'000);
// An instance stays gray for several seconds, so a failed trial holds longer.
// The rest of two seconds is for a retryable request to come.
constexpr millis kFailedTrialHold(1'600);
// The node of a trial that could not connect may be cut off from the instance
// while others reach it, so one of them tries soon. If none can, the instance
// is down, and trials become as rare as after other failures.
constexpr millis kUnreachableTrialHold(250);
constexpr int kMaxHoldDoublings = 3;
constexpr millis kSlowHold(700);
constexpr millis kShedHold(250);
// An instance that fails half of its requests still succeeds twice in a row a
// quarter of the time.
constexpr int kSuccessesAfterFailure = 2;
constexpr int kSuccessesAfterSlow = 1;

}  // namespace

// Peers may report an outcome late, after a good answer that was newer.
bool instance_health::IsOutdated(millis ended_at) const {
  return good_at_ && ended_at < *good_at_;
}

// One failure makes an instance suspect: healthy instances fail about one
// request in a hundred and gray ones fail most of them, so an instance that
// fails is far more likely to be gray than healthy.
bool instance_health::RecordOutcome(attempt_outcome outcome, millis ended_at) {
  if (outcome != attempt_outcome::kOk && IsOutdated(ended_at)) {
    return false;
  }
  switch (outcome) {
    case attempt_outcome::kOk:
      good_at_ = std::max(good_at_.value_or(ended_at), ended_at);
      if (successes_to_clear_ == 0) {
        return false;
      }
      has_failed_trial_ = false;
      unreachable_trials_ = 0;
      return --successes_to_clear_ == 0;
    case attempt_outcome::kFailed:
    case attempt_outcome::kBroken:
      unreachable_trials_ = 0;
      return MarkSuspect(outcome, FailureHold(ended_at), kSuccessesAfterFailure,
                         ended_at);
    case attempt_outcome::kUnreachable:
      return MarkSuspect(outcome, UnreachableHold(ended_at),
                         kSuccessesAfterFailure, ended_at);
    case attempt_outcome::kSlow:
      return MarkSuspect(outcome, kSlowHold, kSuccessesAfterSlow, ended_at);
    case attempt_outcome::kShed:
      return MarkSuspect(outcome, kShedHold, kSuccessesAfterSlow, ended_at);
    case attempt_outcome::kMoved:
    case attempt_outcome::kUnknown:
    case attempt_outcome::kLeaving:
      return false;
  }
  return false;
}

// A failure during the hold is of a request that was already in flight, so it
// does not count as a failed trial.
bool instance_health::NoteFailedTrial(millis ended_at) {
  const bool is_trial = suspect() && ended_at >= hold_until_;
  has_failed_trial_ = has_failed_trial_ || is_trial;
  return is_trial;
}

millis instance_health::FailureHold(millis ended_at) {
  return NoteFailedTrial(ended_at) ? kFailedTrialHold : kFailureHold;
}

// An attempt that began before the hold prolongs it no further.
millis instance_health::UnreachableHold(millis ended_at) {
  if (!NoteFailedTrial(ended_at)) {
    return suspect() ? millis(0) : kFailureHold;
  }
  const int doublings = std::min(unreachable_trials_++, kMaxHoldDoublings);
  return std::min(kUnreachableTrialHold * (1 << doublings), kFailedTrialHold);
}

bool instance_health::MarkSuspect(attempt_outcome outcome, millis hold,
                                  int successes_to_clear, millis ended_at) {
  const bool is_new = successes_to_clear_ == 0;
  successes_to_clear_ = std::max(successes_to_clear_, successes_to_clear);
  hold_until_ = std::max(hold_until_, ended_at + hold);
  cause_ = outcome;
  return is_new;
}

}  // namespace peridotarch
