#ifndef BALANCE_READER_CHOICE_H_
#define BALANCE_READER_CHOICE_H_

#include <cstdint>
#include <span>

#include "core/millis.h"

namespace peridotarch {

/// What this node knows about another node as a reader of the store.
struct reader_candidate {
  uint64_t rank = 0;         ///< Fixed for each node; the lowest ranks read.
  bool same_zone = false;    ///< In the zone of this node.
  bool reads_store = false;  ///< Its last read succeeded.
  millis heard_at;           ///< Time of its last report.
};

/// Returns whether this node, of rank `own_rank`, should read the store itself.
/// One node of each zone does if two of other zones do, else two nodes, and the
/// others get the changes from them. A node that has not heard from enough
/// readers lately reads the store as well.
bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now);

}  // namespace peridotarch

#endif  // BALANCE_READER_CHOICE_H_
