#include "balance/instance_health.h"

#include <algorithm>

namespace peridotarch {

namespace {

// A sound instance that failed once must be tried again within two seconds,
// or too few instances of a small service stay in use.
constexpr millis kFailureHold(1'000);
// Gray spells last several seconds, so a failed trial waits for longer.
constexpr millis kFailedTrialHold(1'800);
constexpr millis kSlowHold(700);
constexpr millis kShedHold(250);
// An instance that fails half of its requests passes two in a row a quarter
// of the time.
constexpr int kFailureClearing = 2;
constexpr int kSlowClearing = 1;

}  // namespace

// One failure is enough: healthy instances fail about one request in a
// hundred, gray ones most of them, so after a failure the instance is far more
// likely gray than unlucky.
bool instance_health::Note(attempt_outcome outcome, millis now) {
  switch (outcome) {
    case attempt_outcome::kOk:
      if (clearing_left_ == 0) {
        return false;
      }
      return --clearing_left_ == 0;
    case attempt_outcome::kFailed:
    case attempt_outcome::kBroken:
    case attempt_outcome::kUnreachable:
      return Suspect(outcome, FailureHold(now), kFailureClearing, now);
    case attempt_outcome::kSlow:
      return Suspect(outcome, kSlowHold, kSlowClearing, now);
    case attempt_outcome::kShed:
      return Suspect(outcome, kShedHold, kSlowClearing, now);
    case attempt_outcome::kMoved:
    case attempt_outcome::kUnknown:
      return false;
  }
  return false;
}

// A failure while the hold lasts is of a request that was out already.
millis instance_health::FailureHold(millis now) const {
  const bool trial = suspect() && now >= hold_until_;
  return trial ? kFailedTrialHold : kFailureHold;
}

bool instance_health::Suspect(attempt_outcome outcome, millis hold,
                              int clearing, millis now) {
  const bool fresh = clearing_left_ == 0;
  clearing_left_ = std::max(clearing_left_, clearing);
  hold_until_ = std::max(hold_until_, now + hold);
  cause_ = outcome;
  return fresh;
}

}  // namespace peridotarch
