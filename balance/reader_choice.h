#ifndef BALANCE_READER_CHOICE_H_
#define BALANCE_READER_CHOICE_H_

#include <cstdint>
#include <span>

#include "core/millis.h"

namespace peridotarch {

/// Reports come once a second, with some delay. Changes in the store have to
/// reach every node within two seconds, which leaves no time to wait for a
/// second missed report.
inline constexpr millis kReaderTimeout(1'400);

/// What this node knows about another node as a reader of the store.
struct reader_candidate {
  uint64_t rank = 0;         ///< Fixed for each node; the lowest ranks read.
  bool same_zone = false;    ///< In the zone of this node.
  bool reads_store = false;  ///< It reads the store for others.
  bool has_records = false;  ///< It knows a configuration and instances.
  millis heard_at;           ///< Time of its last report.
};

/// Returns whether this node, of rank `own_rank`, should read the store itself.
/// One node of each zone does if two of other zones do, else two nodes, and the
/// others get the changes from them. A node that has not heard from enough
/// readers lately reads the store as well.
bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now);

/// Returns whether this node, which has no records yet, should read them from
/// the store: if no live node has them. At the first start of the fleet, when
/// there are no callers yet, the node of the lowest rank in each zone reads
/// them for the others.
bool ShouldReadStoreFirst(uint64_t own_rank,
                          std::span<const reader_candidate> others,
                          bool is_first_start, millis now);

}  // namespace peridotarch

#endif  // BALANCE_READER_CHOICE_H_
