#include "balance/relay_choice.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>

namespace peridotarch {
namespace {

constexpr millis kStart(1'800'000'000'000);

std::vector<relay_candidate> MakeCandidates(uint16_t zone, uint32_t count) {
  std::vector<relay_candidate> candidates;
  for (uint32_t i = 0; i < count; ++i) {
    candidates.push_back({zone, 2 * i + 1});
  }
  return candidates;
}

TEST_CASE("reports to other zones: one node of each zone relays them") {
  const std::vector<relay_candidate> candidates = {{7, 1}, {8, 3}, {8, 5},
                                                   {9, 7}, {9, 9}, {9, 11}};
  random_bits random(1);
  std::set<size_t> chosen;
  for (int i = 0; i < 100; ++i) {
    const auto relays = ChooseRelays(candidates, 7, kStart, random);
    REQUIRE(relays.size() == 2);
    CHECK(candidates[relays[0]].zone == 8);
    CHECK(candidates[relays[1]].zone == 9);
    chosen.insert(relays.begin(), relays.end());
  }
  // Every node is chosen at times, so a dead one does not lose all reports.
  CHECK(chosen == std::set<size_t>{1, 2, 3, 4, 5});
}

TEST_CASE("reports to other zones: a fleet with one zone needs no relays") {
  random_bits random(1);
  CHECK(ChooseRelays(MakeCandidates(7, 2), 7, kStart, random).empty());
}

// Reports are relayed together only if many of them reach the same relay.
TEST_CASE("reports to other zones: all senders use the same few relays") {
  const auto candidates = MakeCandidates(8, 58);
  std::set<size_t> in_one_term;
  for (uint64_t sender = 0; sender < 200; ++sender) {
    random_bits random(sender);
    in_one_term.insert(ChooseRelays(candidates, 7, kStart, random).at(0));
  }
  CHECK(in_one_term.size() >= 2);
  CHECK(in_one_term.size() <= 4);
}

TEST_CASE("reports to other zones: every node relays in turn") {
  const auto candidates = MakeCandidates(8, 58);
  random_bits random(1);
  std::set<size_t> chosen;
  for (int second = 0; second < 600; ++second) {
    const millis now = kStart + millis(1'000) * second;
    chosen.insert(ChooseRelays(candidates, 7, now, random).at(0));
  }
  CHECK(chosen.size() >= 55);
}

}  // namespace
}  // namespace peridotarch
