#ifndef BALANCE_INSTANCE_HEALTH_H_
#define BALANCE_INSTANCE_HEALTH_H_

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

/// What the fleet's outcomes say of one instance. A gray instance passes its
/// health checks, so only real work counts.
class instance_health {
 public:
  /// Notes how an attempt ended, at this node or at a peer. Returns whether
  /// the instance became suspect or cleared by it.
  bool Note(attempt_outcome outcome, millis now);

  /// Returns whether regular work should go elsewhere.
  [[nodiscard]] bool suspect() const { return clearing_left_ > 0; }

  /// Returns how long ago a suspect was due for a trial; negative while the
  /// hold lasts.
  [[nodiscard]] millis TrialOverdue(millis now) const {
    return now - hold_until_;
  }

  /// Returns the outcome that made it suspect last.
  [[nodiscard]] attempt_outcome cause() const { return cause_; }

 private:
  [[nodiscard]] millis FailureHold(millis now) const;
  bool Suspect(attempt_outcome outcome, millis hold, int clearing, millis now);

  int clearing_left_ = 0;  ///< Successes in a row that clear it.
  millis hold_until_;      ///< No trial before.
  attempt_outcome cause_ = attempt_outcome::kOk;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_HEALTH_H_
