#ifndef BALANCE_READER_CHOICE_H_
#define BALANCE_READER_CHOICE_H_

#include <cstdint>
#include <span>

#include "core/millis.h"

namespace peridotarch {

/// What a node knows of another one, as far as reading the store goes.
struct reader_candidate {
  uint64_t rank = 0;         ///< Fixed for a node; the lowest ones read.
  bool same_zone = false;    ///< As this node.
  bool reads_store = false;  ///< Its last read succeeded.
  millis heard;              ///< Its last report.
};

/// Returns whether this node, of rank `own_rank`, reads the store itself. Two
/// nodes of each zone do; the others learn of changes from them. A node that
/// has heard of no reader for a while reads as well.
bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now);

}  // namespace peridotarch

#endif  // BALANCE_READER_CHOICE_H_
