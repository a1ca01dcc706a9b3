#include <atomic>
#include <catch2/catch.hpp>
#include <cmath>
#include <set>
#include <thread>
#include <vector>

#include "core/error.h"
#include "core/hash.h"
#include "core/hybrid_clock.h"
#include "core/invariant.h"
#include "core/millis.h"
#include "core/narrow.h"
#include "core/random.h"
#include "core/rcu_cell.h"
#include "core/timeline.h"
#include "core/verdict.h"

namespace peridotarch {
namespace {

TEST_CASE("a verdict's name reads back") {
  for (const auto v : {verdict::kNotRun, verdict::kRan, verdict::kMayHaveRun}) {
    REQUIRE(FromName<verdict>(ToName(v)) == v);
  }
  REQUIRE_FALSE(FromName<verdict>("maybe").has_value());
}

TEST_CASE("a number from outside is checked when it is narrowed") {
  CHECK(Narrowed<uint8_t>(255, "n") == 255);
  CHECK_THROWS_AS(Narrowed<uint8_t>(256, "n"), codec_error);
  CHECK_THROWS_AS(Narrowed<uint64_t>(-1, "n"), codec_error);
  CHECK(Clamped<uint32_t>(uint64_t{1} << 32) == UINT32_MAX);
  CHECK(Clamped<uint8_t>(-1) == 0);
  CHECK(Clamped<int>(-1e300) == INT32_MIN);
  CHECK(Clamped<int>(-2.5) == -2);
  CHECK(Clamped<int64_t>(9.3e18) == INT64_MAX);
  CHECK(Clamped<int64_t>(std::nan("")) == 0);
}

TEST_CASE("a breach is counted, and throws where that is fatal") {
  const uint64_t before = Breaches(invariant::kFloor);
  SetBreachesFatal(false);
  Check(false, invariant::kFloor);
  REQUIRE(Breaches(invariant::kFloor) == before + 1);
  SetBreachesFatal(true);
  REQUIRE_THROWS_AS(Check(false, invariant::kFloor), invariant_error);
  SetBreachesFatal(false);
}

// Times from other processes are added to and multiplied.
TEST_CASE("a time that 64 bits do not hold becomes the nearest one") {
  constexpr millis kMost(INT64_MAX);
  constexpr millis kLeast(INT64_MIN);
  CHECK(kMost + millis(1) == kMost);
  CHECK(kLeast + millis(-1) == kLeast);
  CHECK(millis(-2) - kMost == kLeast);
  CHECK(millis(0) - kLeast == kMost);
  CHECK(kMost * -2 == kLeast);
  CHECK(kLeast * -1 == kMost);
  CHECK(kMost + kLeast == millis(-1));
}

TEST_CASE("SHA-256 and HMAC-SHA-256 give the published vectors") {
  REQUIRE(ToHex(Sha256("abc")) ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  REQUIRE(ToHex(HmacSha256("Jefe", "what do ya want for nothing?")) ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("rendezvous hashing moves only the keys of the node that left") {
  const std::vector<std::string> nodes = {"a", "b", "c", "d", "e"};
  const auto owner = [&](const std::string& key, const std::string& gone) {
    std::string best;
    for (const auto& node : nodes) {
      const bool better = best.empty() || RendezvousScore(key, node) >
                                              RendezvousScore(key, best);
      if (node != gone && better) {
        best = node;
      }
    }
    return best;
  };
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string before = owner(key, "");
    REQUIRE((before == "c" || owner(key, "c") == before));
  }
}

TEST_CASE("hybrid times rise though the wall clock steps back") {
  hybrid_clock clock;
  const auto first = clock.Next(millis(100));
  const auto second = clock.Next(millis(50));
  REQUIRE(first < second);
  clock.Observe({millis(500), 7});
  REQUIRE(clock.Next(millis(60)) > hybrid_time{millis(500), 7});
}

TEST_CASE("a time line keeps the latest events in order") {
  timeline line("node", 3);
  for (int i = 0; i < 5; ++i) {
    line.Add(millis(i), event_kind::kNodeJoined, std::to_string(i), "");
  }
  const auto events = line.Events();
  REQUIRE(events.size() == 3);
  REQUIRE(events.front().subject == "2");
  REQUIRE(events.back().subject == "4");
}

TEST_CASE("readers of an rcu_cell see whole values while it is replaced") {
  struct pair {
    int left;
    int right;
  };
  rcu_cell<pair> cell(std::make_shared<pair>(pair{0, 0}));
  std::atomic<bool> stop = false;
  std::atomic<int> torn = 0;
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      while (!stop) {
        const auto now = cell.Load();
        torn += now->left == now->right ? 0 : 1;
      }
    });
  }
  for (int i = 1; i <= 2000; ++i) {
    cell.Store(std::make_shared<pair>(pair{i, i}));
  }
  stop = true;
  for (auto& reader : readers) {
    reader.join();
  }
  REQUIRE(torn == 0);
  REQUIRE(cell.Load()->left == 2000);
}

}  // namespace
}  // namespace peridotarch
