#include "balance/relay_choice.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>

namespace peridotarch {
namespace {

TEST_CASE("reports to other zones: one node of each passes them on") {
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
  // A dead one is not chosen each time.
  CHECK(chosen == std::set<size_t>{1, 2, 3, 4, 5});
}

TEST_CASE("reports to other zones: none where the fleet has one zone") {
  constexpr std::array<uint16_t, 2> kZones = {7, 7};
  random_bits random(1);
  CHECK(ChooseRelays(kZones, 7, random).empty());
}

}  // namespace
}  // namespace peridotarch
