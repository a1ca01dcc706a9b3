#include "balance/relay_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/hash.h"

namespace peridotarch {

namespace {

// Few relays get many reports, which they pass on together.
constexpr size_t kRelaysPerZone = 4;
// A relay that has died or cannot reach its zone loses reports for so long.
constexpr millis kRelayTerm(2'000);

uint64_t RankInTerm(uint32_t key, uint64_t term) {
  return Hash64({reinterpret_cast<const char*>(&key), sizeof(key)}, term);
}

}  // namespace

// The relays change with each term, so that the work is shared and a dead relay
// does not lose all reports for long. Terms follow the senders' clocks; senders
// whose clocks differ only use other relays.
std::vector<size_t> ChooseRelays(std::span<const relay_candidate> candidates,
                                 uint16_t own_zone, millis now,
                                 random_bits& random) {
  const auto term = static_cast<uint64_t>(now.count() / kRelayTerm.count());
  std::map<uint16_t, std::vector<std::pair<uint64_t, size_t>>> by_zone;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].zone != own_zone) {
      by_zone[candidates[i].zone].emplace_back(
          RankInTerm(candidates[i].key, term), i);
    }
  }
  std::vector<size_t> relays;
  relays.reserve(by_zone.size());
  for (auto& [zone, ranked] : by_zone) {
    const size_t count = std::min(kRelaysPerZone, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<ptrdiff_t>(count),
                      ranked.end());
    relays.push_back(ranked[random.Below(count)].second);
  }
  return relays;
}

}  // namespace peridotarch
