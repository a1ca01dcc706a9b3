#include "balance/fleet_retry_budget.h"

#include <catch2/catch.hpp>
#include <climits>
#include <string>
#include <vector>

namespace peridotarch {
namespace {

constexpr int kNodes = 36;
const retry_limits kLimits{0.2, 58, millis(10'000)};

void ReportToAll(std::vector<fleet_retry_budget>& nodes, size_t from,
                 millis now) {
  const auto usage = nodes[from].Usage(now);
  for (size_t to = 0; to < nodes.size(); ++to) {
    if (to != from) {
      nodes[to].Apply(std::to_string(from), usage, now);
    }
  }
}

// Sends requests to all nodes in turn, each of which takes up to three retries
// per request. Returns the number of retries taken.
int RunRetryStorm(std::vector<fleet_retry_budget>& nodes, int requests,
                  bool nodes_report) {
  int taken = 0;
  millis now(1'000'000);
  for (int i = 0; i < requests; ++i) {
    const auto node = static_cast<size_t>(i) % nodes.size();
    nodes[node].NoteRequest("payout", now);
    for (int retry = 0; retry < 3; ++retry) {
      taken += nodes[node].TakeRetry("payout", 0, now) ? 1 : 0;
    }
    if (nodes_report) {
      ReportToAll(nodes, node, now);
    }
    now += millis(5);
  }
  return taken;
}

TEST_CASE(
    "retry storm: the retries of all nodes together stay within the limits") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kLimits));
  constexpr int kRequests = 1'000;
  const int taken = RunRetryStorm(nodes, kRequests, true);
  CHECK(taken <= kLimits.ratio * kRequests + kLimits.slack);
  CHECK(taken >= (kLimits.ratio * kRequests + kLimits.slack) / 2);
}

TEST_CASE(
    "retry storm: nodes that are cut off from each other stay within the "
    "limits") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kLimits));
  const millis before(998'000);
  for (size_t node = 0; node < nodes.size(); ++node) {
    ReportToAll(nodes, node, before - millis(5'000));
  }
  constexpr int kRequests = 1'000;
  CHECK(RunRetryStorm(nodes, kRequests, false) <=
        kLimits.ratio * kRequests + kLimits.slack);
}

TEST_CASE("one node can use the slack of the whole fleet for a few failures") {
  std::vector<fleet_retry_budget> nodes(kNodes, fleet_retry_budget(kLimits));
  const millis now(1'000'000);
  for (size_t node = 0; node < nodes.size(); ++node) {
    ReportToAll(nodes, node, now);
  }
  int taken = 0;
  for (int i = 0; i < 20; ++i) {
    nodes[0].NoteRequest("payout", now);
    taken += nodes[0].TakeRetry("payout", 0, now) ? 1 : 0;
  }
  CHECK(taken == 20);
}

TEST_CASE(
    "the state of the budget shows its limit and the number of known nodes") {
  std::vector<fleet_retry_budget> nodes(
      2, fleet_retry_budget({0.2, 10, millis(10'000)}));
  const millis now(1'000'000);
  for (int i = 0; i < 100; ++i) {
    nodes[0].NoteRequest("s", now);
  }
  REQUIRE(nodes[0].TakeRetry("s", 0, now));
  ReportToAll(nodes, 0, now);
  const retry_budget_state known = nodes[1].StateFor("s", 0, now);
  CHECK(known.used == 1);
  CHECK(known.allowed > 20);
  CHECK(known.allowed <= 30);
  CHECK(known.nodes_heard == 2);
  // A peer that went silent may be using its share of the slack.
  const retry_budget_state after_silence =
      nodes[1].StateFor("s", 0, now + millis(5'000));
  CHECK(after_silence.nodes_heard == 1);
  CHECK(after_silence.nodes_known == 2);
  CHECK(after_silence.allowed <= 5);
}

// The cast of such a number is undefined: x86-64 allowed no retry.
TEST_CASE("a slack that no int holds allows retries") {
  for (const double slack : {3e9, 1e300}) {
    fleet_retry_budget budget({0.2, slack, millis(10'000)});
    CHECK(budget.StateFor("payout", 0, millis(0)).allowed == INT_MAX);
    CHECK(budget.TakeRetry("payout", 0, millis(0)));
  }
}

TEST_CASE("retries taken are available again after the window") {
  fleet_retry_budget budget({0, 4, millis(10'000)});
  millis now(1'000'000);
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += budget.TakeRetry("s", 0, now) ? 1 : 0;
  }
  CHECK(taken == 3);
  CHECK_FALSE(budget.TakeRetry("s", 0, now + millis(9'000)));
  CHECK(budget.TakeRetry("s", 0, now + millis(10'001)));
  CHECK(budget.TakeRetry("other", 0, now));
}

TEST_CASE("scarce retries go to urgent requests first") {
  fleet_retry_budget budget({0, 100, millis(10'000)});
  const millis now(1'000'000);
  int least_urgent_taken = 0;
  while (budget.TakeRetry("s", 2, now)) {
    ++least_urgent_taken;
  }
  CHECK(least_urgent_taken < 80);
  CHECK(budget.TakeRetry("s", 1, now));
  CHECK(budget.TakeRetry("s", 0, now));
}

}  // namespace
}  // namespace peridotarch
