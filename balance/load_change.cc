#include "balance/load_change.h"

#include "balance/instance_health.h"

namespace peridotarch {

// Under overload most attempts end with a refusal, so a report of each one to
// the whole fleet would cost more than the requests themselves. A refusal
// concerns only those who would send there in the next moment. A failure during
// the hold of a suspect is of a request that was already in flight.
load_change ChangeAfter(attempt_outcome outcome, const instance_health& before,
                        millis now) {
  const bool was_held = before.is_held(now);
  switch (outcome) {
    case attempt_outcome::kUnknown:
      return load_change::kSlotFreed;
    case attempt_outcome::kOk:
      return before.suspect() ? load_change::kHealthEvidence
                              : load_change::kSlotFreed;
    case attempt_outcome::kShed:
      return was_held ? load_change::kSlotFreed : load_change::kInstanceSheds;
    case attempt_outcome::kFailed:
    case attempt_outcome::kBroken:
    case attempt_outcome::kSlow:
    case attempt_outcome::kUnreachable:
      return was_held ? load_change::kSlotFreed : load_change::kHealthEvidence;
    case attempt_outcome::kMoved:
    case attempt_outcome::kLeaving:
      return load_change::kHealthEvidence;
  }
  return load_change::kHealthEvidence;
}

}  // namespace peridotarch
