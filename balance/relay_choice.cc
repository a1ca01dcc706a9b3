#include "balance/relay_choice.h"

#include <map>

namespace peridotarch {

// A new draw for each report: a relay that has just died, or that cannot reach
// its zone, costs single reports and never all of a node's.
std::vector<size_t> ChooseRelays(std::span<const uint16_t> zones, uint16_t own,
                                 random_bits& random) {
  std::map<uint16_t, std::vector<size_t>> by_zone;
  for (size_t i = 0; i < zones.size(); ++i) {
    if (zones[i] != own) {
      by_zone[zones[i]].push_back(i);
    }
  }
  std::vector<size_t> relays;
  relays.reserve(by_zone.size());
  for (const auto& [zone, members] : by_zone) {
    relays.push_back(members[random.Below(members.size())]);
  }
  return relays;
}

}  // namespace peridotarch
