#ifndef CORE_TRIAL_PACE_H_
#define CORE_TRIAL_PACE_H_

#include "core/instance_state.h"
#include "core/millis.h"

namespace peridotarch {

/// Least time between two trials of a suspect. Each is evidence for one of two
/// verdicts, so they end soon: at 200 ms a half-failing instance was not out
/// 15 s after its fault (detection_test), at 100 ms it is.
inline constexpr millis kSuspectTrialInterval(100);

/// Least time between two trials of an ejected instance. Nothing waits for
/// them, and each may fail a caller's first attempt.
inline constexpr millis kProbationTrialInterval(1'000);

/// The least time between two trials of an instance in this state.
constexpr millis TrialInterval(instance_state state) {
  return state == instance_state::kSuspect ? kSuspectTrialInterval
                                           : kProbationTrialInterval;
}

}  // namespace peridotarch

#endif  // CORE_TRIAL_PACE_H_
