#include "detection/membership.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <numeric>

#include "gossip_net.h"

namespace peridotarch {
namespace {

std::vector<int> Numbers(int count) {
  std::vector<int> numbers(static_cast<size_t>(count));
  std::iota(numbers.begin(), numbers.end(), 0);
  return numbers;
}

// Starts `count` nodes that know each other only from the list.
void StartAll(gossip_net& net, int count) {
  net.List(Numbers(count));
  for (int i = 0; i < count; ++i) {
    net.Start(i);
  }
  net.Run(millis(20'000));
}

TEST_CASE("nodes find each other from a list that lacks most of them") {
  gossip_net net(1);
  net.List({0, 1});
  for (int i = 0; i < 36; ++i) {
    net.Start(i);
  }
  net.Run(millis(15'000));
  REQUIRE(net.Converged());
}

TEST_CASE("a crashed node is removed within 5 s and can join again") {
  gossip_net net(2);
  StartAll(net, 16);
  net.Crash(3);
  net.Run(millis(5'000));
  REQUIRE(net.Converged());
  net.Start(3);
  net.Run(millis(5'000));
  REQUIRE(net.Converged());
}

TEST_CASE("all nodes know within 1.5 s that a node has left") {
  gossip_net net(3);
  StartAll(net, 16);
  net.Leave(5);
  net.Run(millis(1'500));
  for (int i = 0; i < 16; ++i) {
    REQUIRE((i == 5 || !net.Sees(i, 5)));
  }
}

TEST_CASE("a one-way cut between two nodes removes neither") {
  gossip_net net(4);
  StartAll(net, 12);
  net.Cut(1, 2);
  for (int i = 0; i < 60; ++i) {
    net.Run(millis(500));
    REQUIRE(net.Sees(0, 1));
    REQUIRE(net.Sees(0, 2));
    REQUIRE_FALSE(net.at(1).DoubtsItself());
  }
}

TEST_CASE("a node that receives nothing doubts itself and the others do not") {
  gossip_net net(5);
  StartAll(net, 12);
  for (int i = 0; i < 12; ++i) {
    net.Cut(i, 4);
  }
  net.Run(millis(6'000));
  REQUIRE(net.at(4).DoubtsItself());
  for (int i = 0; i < 12; ++i) {
    REQUIRE((i == 4 || !net.at(i).DoubtsItself()));
  }
  net.HealAll();
  net.Run(millis(30'000));
  REQUIRE(net.Converged());
  REQUIRE_FALSE(net.at(4).DoubtsItself());
}

TEST_CASE("a node whose messages are all lost doubts itself") {
  gossip_net net(6);
  StartAll(net, 12);
  for (int i = 0; i < 12; ++i) {
    net.Cut(4, i);
  }
  net.Run(millis(6'000));
  REQUIRE(net.at(4).DoubtsItself());
}

TEST_CASE("nodes agree again after a partition of a zone") {
  gossip_net net(7);
  StartAll(net, 16);
  for (int i = 0; i < 16; ++i) {
    for (int j = 0; j < 16; ++j) {
      if ((i % 4 == 0) != (j % 4 == 0)) {
        net.Cut(i, j);
      }
    }
  }
  net.Run(millis(60'000));
  REQUIRE_FALSE(net.Sees(0, 1));
  REQUIRE(net.Sees(0, 4));
  net.HealAll();
  net.Run(millis(30'000));
  REQUIRE(net.Converged());
}

TEST_CASE("a paused node counts as alive again once it runs") {
  gossip_net net(8);
  StartAll(net, 10);
  net.Pause(2, true);
  net.Run(millis(20'000));
  REQUIRE_FALSE(net.Sees(0, 2));
  net.Pause(2, false);
  net.Run(millis(20'000));
  REQUIRE(net.Converged());
}

TEST_CASE("packet loss and duplicates remove no node for good") {
  gossip_net net(9);
  StartAll(net, 16);
  net.loss = 0.10;
  net.duplicates = 0.10;
  net.Run(millis(60'000));
  net.HealAll();
  net.Run(millis(20'000));
  REQUIRE(net.Converged());
}

TEST_CASE("all nodes learn of a leaving instance within 3 s") {
  gossip_net net(10);
  StartAll(net, 36);
  const leaving_note note = {"payout-desk", "payout-3", 7};
  net.at(0).SpreadLeaving(note, net.now());
  net.Run(millis(3'000));
  for (int i = 1; i < 36; ++i) {
    REQUIRE(net.at(i).TakeLeavingInstances() ==
            std::vector<leaving_note>{note});
  }
}

TEST_CASE("each node learns every node's revision within 3 s") {
  gossip_net net(11);
  StartAll(net, 36);
  for (int i = 0; i < 36; ++i) {
    net.at(i).SetRevision(5, 0xabcULL);
  }
  net.Run(millis(3'000));
  for (int i = 0; i < 36; ++i) {
    for (const member& known : net.at(i).Members()) {
      REQUIRE(known.record.revision == 5);
    }
  }
}

TEST_CASE("no message is larger than kMaxGossipBytes") {
  gossip_net net(12);
  size_t largest = 0;
  net.wire = [&](int, const gossip_message& message) {
    const std::string bytes = Encode(message);
    largest = std::max(largest, bytes.size());
    return DecodeGossip(bytes);
  };
  net.List(Numbers(100));
  for (int i = 0; i < 100; ++i) {
    net.Start(i);
  }
  net.Run(millis(10'000));
  REQUIRE(largest > 0);
  REQUIRE(largest <= kMaxGossipBytes);
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kSchedules = 20;
#else
constexpr int kSchedules = 200;
#endif

TEST_CASE("the members agree again after random faults") {
  const uint64_t first = Catch::rngSeed();
  std::cout << "membership schedules: first seed " << first << "\n";
  for (int i = 0; i < kSchedules; ++i) {
    const uint64_t seed = first + static_cast<uint64_t>(i);
    CAPTURE(seed);
    random_bits random(seed);
    gossip_net net(seed);
    const int count = 2 + static_cast<int>(random.Below(9));
    StartAll(net, count);
    for (int step = 0; step < 12; ++step) {
      const int first_node = static_cast<int>(random.Below(count));
      const int second_node = static_cast<int>(random.Below(count));
      switch (random.Below(6)) {
        case 0:
          net.Crash(first_node);
          break;
        case 1:
          net.Start(first_node);
          break;
        case 2:
          net.Pause(first_node, random.Below(2) == 0);
          break;
        case 3:
          net.loss = random.Unit() * 0.3;
          break;
        case 4:
          net.HealAll();
          break;
        default:
          net.Cut(first_node, second_node);
          break;
      }
      net.Run(millis(static_cast<int64_t>(random.Below(4'000))));
    }
    net.HealAll();
    for (int number = 0; number < count; ++number) {
      net.Pause(number, false);
    }
    net.Run(millis(60'000));
    REQUIRE(net.Converged());
  }
}

}  // namespace
}  // namespace peridotarch
