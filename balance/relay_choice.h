#ifndef BALANCE_RELAY_CHOICE_H_
#define BALANCE_RELAY_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/random.h"

namespace peridotarch {

/// Chooses the nodes that relay a report within the other availability zones.
/// `zones` holds the zone key of each node. Returns the index of one random
/// node for each zone other than `own_zone`.
std::vector<size_t> ChooseRelays(std::span<const uint16_t> zones,
                                 uint16_t own_zone, random_bits& random);

}  // namespace peridotarch

#endif  // BALANCE_RELAY_CHOICE_H_
