#ifndef BALANCE_RELAY_CHOICE_H_
#define BALANCE_RELAY_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/random.h"

namespace peridotarch {

/// Chooses who passes a report on within the other availability zones: the
/// index of one node at random for each zone in `zones` but `own`.
std::vector<size_t> ChooseRelays(std::span<const uint16_t> zones, uint16_t own,
                                 random_bits& random);

}  // namespace peridotarch

#endif  // BALANCE_RELAY_CHOICE_H_
