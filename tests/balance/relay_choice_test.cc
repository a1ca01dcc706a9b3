#include "balance/relay_choice.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>

namespace peridotarch {
namespace {

TEST_CASE("reports to other zones: one node of each zone relays them") {
  constexpr std::array<uint16_t, 6> kZones = {7, 8, 8, 9, 9, 9};
  random_bits random(1);
  std::set<size_t> chosen;
  for (int i = 0; i < 100; ++i) {
    const auto relays = ChooseRelays(kZones, 7, random);
    REQUIRE(relays.size() == 2);
    CHECK(kZones[relays[0]] == 8);
    CHECK(kZones[relays[1]] == 9);
    chosen.insert(relays.begin(), relays.end());
  }
  // Every node is chosen at times, so a dead one does not lose all reports.
  CHECK(chosen == std::set<size_t>{1, 2, 3, 4, 5});
}

TEST_CASE("reports to other zones: a fleet with one zone needs no relays") {
  constexpr std::array<uint16_t, 2> kZones = {7, 7};
  random_bits random(1);
  CHECK(ChooseRelays(kZones, 7, random).empty());
}

}  // namespace
}  // namespace peridotarch
