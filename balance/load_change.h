#ifndef BALANCE_LOAD_CHANGE_H_
#define BALANCE_LOAD_CHANGE_H_

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

class instance_health;

/// A change at this node that its peers should know of.
enum class load_change {
  kSlotTaken,       ///< An attempt began and takes a slot.
  kTrialBegun,      ///< The same, to learn whether a suspect has recovered.
  kSlotFreed,       ///< An attempt ended and shows nothing new.
  kInstanceSheds,   ///< The instance sheds load.
  kHealthEvidence,  ///< The instance may have turned gray or recovered.
  kRecordsChanged,  ///< The store's records have changed.
  kReaderChanged,   ///< This node has begun or ceased to read the store.
  kRetryTaken,      ///< A retry was taken from the fleet's budget.
  kCaughtUp,        ///< This node has read changed records at a peer.
};

/// Returns what the end of an attempt at `now` means to the peers. `before` is
/// the instance's health without it.
load_change ChangeAfter(attempt_outcome outcome, const instance_health& before,
                        millis now);

}  // namespace peridotarch

#endif  // BALANCE_LOAD_CHANGE_H_
