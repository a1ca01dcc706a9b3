#ifndef BALANCE_RELAY_CHOICE_H_
#define BALANCE_RELAY_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/millis.h"
#include "core/random.h"

namespace peridotarch {

/// A node that may relay reports within its availability zone.
struct relay_candidate {
  uint16_t zone = 0;  ///< Key of its zone.
  uint32_t key = 0;   ///< Key of the node.
};

/// Chooses the nodes that relay a report within the other availability zones.
/// Returns the index of one candidate for each zone other than `own_zone`. All
/// senders draw from the same few nodes of a zone; which ones, changes with
/// `now`.
std::vector<size_t> ChooseRelays(std::span<const relay_candidate> candidates,
                                 uint16_t own_zone, millis now,
                                 random_bits& random);

}  // namespace peridotarch

#endif  // BALANCE_RELAY_CHOICE_H_
