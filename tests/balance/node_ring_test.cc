// Load pattern: hundreds of nodes with a few requests a second each before
// hundreds of instances. What a node sends and receives must not grow with the
// number of nodes.
#include "balance/node_ring.h"

#include <catch2/catch.hpp>
#include <map>

#include "balance/heartbeat_schedule.h"
#include "core/random.h"
#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);

// Returns how many of the nodes use an instance, on average.
double MeanUsers(size_t nodes, size_t instances) {
  size_t users = 0;
  for (size_t rank = 0; rank < instances; ++rank) {
    const home_range home = HomeRangeOf(rank, instances, nodes);
    for (size_t node = 0; node < nodes; ++node) {
      users += home.Contains(RingPosition(node, nodes)) ? 1 : 0;
    }
  }
  return static_cast<double>(users) / static_cast<double>(instances);
}

TEST_CASE("node ring: few nodes and few instances are all used by all") {
  CHECK(MeanUsers(12, 2) == 12);
  CHECK(MeanUsers(12, 6) == 12);
  CHECK(MeanUsers(1, 80) == 1);
}

TEST_CASE("node ring: the users of an instance do not grow with the nodes") {
  const double at_60 = MeanUsers(60, 80);
  const double at_160 = MeanUsers(160, 213);
  CHECK(at_60 <= 2 * kHomeInstances);
  CHECK(at_160 == Approx(at_60).epsilon(0.2));
}

TEST_CASE("node ring: every instance is used, also if nodes are few") {
  for (const size_t nodes : {size_t{1}, size_t{2}, size_t{5}, size_t{40}}) {
    for (size_t rank = 0; rank < 200; ++rank) {
      const home_range home = HomeRangeOf(rank, 200, nodes);
      size_t users = 0;
      for (size_t node = 0; node < nodes; ++node) {
        users += home.Contains(RingPosition(node, nodes)) ? 1 : 0;
      }
      INFO(nodes << " nodes, instance " << rank);
      CHECK(users >= 1);
    }
  }
}

TEST_CASE("node ring: a node that leaves moves the others by little") {
  random_bits random(1);
  std::vector<uint32_t> keys;
  for (int i = 0; i < 58; ++i) {
    keys.push_back(static_cast<uint32_t>(random()) | 1);
  }
  node_ring before;
  before.Set(1, keys);
  std::vector<uint32_t> fewer(keys.begin() + 1, keys.end());
  node_ring after;
  after.Set(1, fewer);
  for (const uint32_t key : fewer) {
    CHECK(std::abs(before.PositionOf(key) - after.PositionOf(key)) < 0.02);
  }
}

TEST_CASE("many nodes: a node sends its requests to a few instances first") {
  constexpr int kInstances = 80;
  instance_selector selector("a", 3);
  selector.SetInstances(MakeEntries(kInstances, "s"), kStart);
  selector.SetRingPosition(RingPosition(7, 58), 58);
  std::map<instance_key, int> used;
  choice_request request = MakeRequest("s");
  request.time_left = millis(5'000);
  for (int i = 0; i < 6; ++i) {
    const instance_choice choice = selector.Choose(request, kStart);
    selector.Begin(choice.key);
    ++used[choice.key];
    CHECK(selector.HomeOf(choice.key)->Contains(RingPosition(7, 58)));
  }
  // It does not fill the last slots of these while others are idle.
  for (int i = 0; i < 40; ++i) {
    const instance_choice choice = selector.Choose(request, kStart);
    REQUIRE(choice.basis == choice_basis::kRegular);
    CHECK(choice.in_flight < 2);
    selector.Begin(choice.key);
    ++used[choice.key];
  }
  CHECK(used.size() > kHomeInstances + 2);
}

TEST_CASE("many nodes: heartbeats to other zones are bounded and reach all") {
  for (const size_t nodes :
       {size_t{24}, size_t{80}, size_t{233}, size_t{640}}) {
    heartbeat_schedule schedule;
    random_bits random(nodes);
    std::map<uint32_t, int> received;
    for (size_t i = 0; i < nodes; ++i) {
      received[static_cast<uint32_t>(random()) | 1] = 0;
    }
    schedule.Advance(nodes);
    const int intervals = schedule.intervals();
    for (int i = 0; i < intervals; ++i) {
      schedule.Advance(nodes);
      size_t due = 0;
      for (auto& [key, count] : received) {
        count += schedule.IsDue(key) ? 1 : 0;
        due += schedule.IsDue(key) ? 1 : 0;
      }
      CHECK(due <= heartbeat_schedule::kPerInterval * 3 / 2);
    }
    for (const auto& [key, count] : received) {
      CHECK(count == 1);
    }
  }
}

}  // namespace
}  // namespace peridotarch
