#include "balance/relay_choice.h"

#include <map>

namespace peridotarch {

// Each report gets new random relays, so a relay that has died or cannot reach
// its zone loses only some of a node's reports, never all of them.
std::vector<size_t> ChooseRelays(std::span<const uint16_t> zones,
                                 uint16_t own_zone, random_bits& random) {
  std::map<uint16_t, std::vector<size_t>> by_zone;
  for (size_t i = 0; i < zones.size(); ++i) {
    if (zones[i] != own_zone) {
      by_zone[zones[i]].push_back(i);
    }
  }
  std::vector<size_t> relays;
  relays.reserve(by_zone.size());
  for (const auto& [zone, candidates] : by_zone) {
    relays.push_back(candidates[random.Below(candidates.size())]);
  }
  return relays;
}

}  // namespace peridotarch
