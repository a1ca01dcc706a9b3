#ifndef BALANCE_INSTANCE_HEALTH_H_
#define BALANCE_INSTANCE_HEALTH_H_

#include <optional>

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

/// Outlier detection for one instance, from the outcomes of requests at all
/// nodes. A gray instance passes its health checks but fails requests, so
/// health checks are not used.
class instance_health {
 public:
  /// Records the outcome of an attempt that ended at `ended_at`, by this node
  /// or by a peer. Returns whether the instance thereby became suspect or was
  /// cleared.
  bool RecordOutcome(attempt_outcome outcome, millis ended_at);

  /// Returns whether regular requests should go to other instances.
  [[nodiscard]] bool suspect() const { return successes_to_clear_ > 0; }

  /// Returns how long a suspect has been due for a trial request; negative
  /// while its hold lasts.
  [[nodiscard]] millis TrialOverdue(millis now) const {
    return now - hold_until_;
  }

  /// Returns whether it is suspect and not yet due for a trial.
  [[nodiscard]] bool is_held(millis now) const {
    return suspect() && TrialOverdue(now) < millis(0);
  }

  /// Returns whether a trial has failed since the instance became suspect.
  [[nodiscard]] bool has_failed_trial() const { return has_failed_trial_; }

  /// Returns the latest outcome that counted against the instance.
  [[nodiscard]] attempt_outcome cause() const { return cause_; }

 private:
  [[nodiscard]] bool IsOutdated(millis ended_at) const;
  /// Returns whether an attempt that has failed was a trial.
  bool NoteFailedTrial(millis ended_at);
  [[nodiscard]] millis FailureHold(millis ended_at);
  [[nodiscard]] millis UnreachableHold(millis ended_at);
  bool MarkSuspect(attempt_outcome outcome, millis hold, int successes_to_clear,
                   millis ended_at);

  int successes_to_clear_ = 0;  ///< Successes still needed to clear it.
  bool has_failed_trial_ = false;
  int unreachable_trials_ = 0;     ///< In a row, since the last answer.
  millis hold_until_;              ///< No trial before this time.
  std::optional<millis> good_at_;  ///< End of the last good attempt known.
  attempt_outcome cause_ = attempt_outcome::kOk;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_HEALTH_H_
