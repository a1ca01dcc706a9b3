#include "balance/fleet_retry_budget.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace peridotarch {
namespace {

constexpr int kNodes = 36;
const retry_limits kBound{0.2, 58, millis(10'000)};

void TellAll(std::vector<fleet_retry_budget>& nodes, size_t from, millis now) {
  const auto usage = nodes[from].Usage(now);
  for (size_t to = 0; to < nodes.size(); ++to) {
    if (to != from) {
      nodes[to].Apply(std::to_string(from), usage, now);
    }
  }
}

// Every node repeats as often as it may while callers storm.
int Storm(std::vector<fleet_retry_budget>& nodes, int requests, bool hear) {
  int taken = 0;
  millis now(1'000'000);
  for (int i = 0; i < requests; ++i) {
    const auto node = static_cast<size_t>(i) % nodes.size();
    nodes[node].NoteRequest("payout", now);
    for (int repeat = 0; repeat < 3; ++repeat) {
      taken += nodes[node].TakeRetry("payout", 0, now) ? 1 : 0;
    }
    if (hear) {
      TellAll(nodes, node, now);
    }
    now += millis(5);
  }
  return taken;
}

TEST_CASE("retry storm: the nodes' retries together stay within the bound") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kBound));
  constexpr int kRequests = 1'000;
  const int taken = Storm(nodes, kRequests, true);
  CHECK(taken <= kBound.ratio * kRequests + kBound.slack);
  CHECK(taken >= (kBound.ratio * kRequests + kBound.slack) / 2);
}

TEST_CASE("retry storm while the nodes are cut off from each other") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kBound));
  const millis before(998'000);
  for (size_t node = 0; node < nodes.size(); ++node) {
    TellAll(nodes, node, before - millis(5'000));
  }
  constexpr int kRequests = 1'000;
  CHECK(Storm(nodes, kRequests, false) <=
        kBound.ratio * kRequests + kBound.slack);
}

TEST_CASE("a few failures at one node use the fleet's slack") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kBound));
  const millis now(1'000'000);
  for (size_t node = 0; node < nodes.size(); ++node) {
    TellAll(nodes, node, now);
  }
  int taken = 0;
  for (int i = 0; i < 20; ++i) {
    nodes[0].NoteRequest("payout", now);
    taken += nodes[0].TakeRetry("payout", 0, now) ? 1 : 0;
  }
  CHECK(taken == 20);
}

TEST_CASE("what the budget allows is told with what it is based on") {
  std::vector<fleet_retry_budget> nodes(
      2, fleet_retry_budget({0.2, 10, millis(10'000)}));
  const millis now(1'000'000);
  for (int i = 0; i < 100; ++i) {
    nodes[0].NoteRequest("s", now);
  }
  REQUIRE(nodes[0].TakeRetry("s", 0, now));
  TellAll(nodes, 0, now);
  const retry_budget_state known = nodes[1].StateFor("s", 0, now);
  CHECK(known.used == 1);
  CHECK(known.allowed > 20);
  CHECK(known.allowed <= 30);
  CHECK(known.heard == 2);
  // A peer that went silent: its part of the slack may be in use.
  const retry_budget_state alone =
      nodes[1].StateFor("s", 0, now + millis(5'000));
  CHECK(alone.heard == 1);
  CHECK(alone.known == 2);
  CHECK(alone.allowed <= 5);
}

TEST_CASE("what was taken comes back after the window") {
  fleet_retry_budget pool({0, 4, millis(10'000)});
  millis now(1'000'000);
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += pool.TakeRetry("s", 0, now) ? 1 : 0;
  }
  CHECK(taken == 3);
  CHECK_FALSE(pool.TakeRetry("s", 0, now + millis(9'000)));
  CHECK(pool.TakeRetry("s", 0, now + millis(10'001)));
  CHECK(pool.TakeRetry("other", 0, now));
}

TEST_CASE("scarce retries go to the urgent requests first") {
  fleet_retry_budget pool({0, 100, millis(10'000)});
  const millis now(1'000'000);
  int least = 0;
  while (pool.TakeRetry("s", 2, now)) {
    ++least;
  }
  CHECK(least < 80);
  CHECK(pool.TakeRetry("s", 1, now));
  CHECK(pool.TakeRetry("s", 0, now));
}

}  // namespace
}  // namespace peridotarch
