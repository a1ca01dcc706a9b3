#ifndef BALANCE_RETRY_DELAY_H_
#define BALANCE_RETRY_DELAY_H_

#include "core/millis.h"

namespace peridotarch {

/// Returns when a caller may return whose service rests as a whole for `rest`:
/// not before, and within a third of its `time_left` if the rest allows that,
/// since callers do not wait for longer. `spread` in [0, 1) differs by caller,
/// so that they do not return together.
millis DelayAfterRest(millis rest, millis time_left, double spread);

/// Returns when a caller may return whose service has no instance that takes
/// requests: `usual`, or sooner if a caller with `time_left` does not wait for
/// so long. The node spreads it by up to a half.
millis DelayWithoutInstance(millis usual, millis time_left);

}  // namespace peridotarch

#endif  // BALANCE_RETRY_DELAY_H_
