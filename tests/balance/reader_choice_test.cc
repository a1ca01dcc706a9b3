#include "balance/reader_choice.h"

#include <catch2/catch.hpp>
#include <vector>

#include "balance/reader_duty.h"

namespace peridotarch {
namespace {

constexpr millis kNow(50'000);

std::vector<reader_candidate> Zone(int nodes) {
  std::vector<reader_candidate> zone;
  for (int i = 0; i < nodes; ++i) {
    zone.push_back({static_cast<uint64_t>(i + 1), true, true, true, kNow});
  }
  return zone;
}

TEST_CASE("the two lowest ranks of a zone read the store") {
  const auto others = Zone(10);
  CHECK(ShouldReadStore(0, others, kNow));
  CHECK(ShouldReadStore(2, others, kNow));
  CHECK_FALSE(ShouldReadStore(3, others, kNow));
  CHECK(ShouldReadStore(9, {}, kNow));
}

TEST_CASE(
    "silent readers, readers whose last read failed and one reader of another "
    "zone do not count") {
  auto others = Zone(3);
  CHECK_FALSE(ShouldReadStore(4, others, kNow));
  SECTION("silent for longer than a report interval") {
    CHECK(ShouldReadStore(4, others, kNow + millis(1'400)));
  }
  SECTION("last read failed") {
    others[0].reads_store = false;
    others[1].reads_store = false;
    CHECK(ShouldReadStore(4, others, kNow));
  }
  SECTION("in another zone") {
    others[0].same_zone = false;
    others.pop_back();
    CHECK(ShouldReadStore(4, others, kNow));
  }
}

TEST_CASE("one node of a zone reads the store while two of other zones do") {
  auto others = Zone(4);
  for (const int away : {2, 3}) {
    reader_candidate reader{static_cast<uint64_t>(away + 100), false, true,
                            true, kNow};
    others.push_back(reader);
  }
  CHECK(ShouldReadStore(0, others, kNow));
  CHECK_FALSE(ShouldReadStore(2, others, kNow));
  SECTION("one of them has failed") {
    others.back().reads_store = false;
    CHECK(ShouldReadStore(2, others, kNow));
  }
  SECTION("one of them is silent") {
    others.back().heard_at = kNow - millis(5'000);
    CHECK(ShouldReadStore(2, others, kNow));
  }
}

TEST_CASE("first start of all nodes: one of each zone reads the store first") {
  auto others = Zone(4);
  for (reader_candidate& other : others) {
    other.reads_store = false;
    other.has_records = false;
  }
  CHECK(ShouldReadStoreFirst(0, others, true, kNow));
  CHECK_FALSE(ShouldReadStoreFirst(2, others, true, kNow));
  CHECK(ShouldReadStoreFirst(2, {}, true, kNow));
  SECTION("the lower rank is silent or in another zone") {
    others[0].heard_at = kNow - millis(1'400);
    CHECK(ShouldReadStoreFirst(2, others, true, kNow));
    others[0].heard_at = kNow;
    others[0].same_zone = false;
    CHECK(ShouldReadStoreFirst(2, others, true, kNow));
  }
  SECTION("callers wait when all nodes restart, so each reads the store") {
    CHECK(ShouldReadStoreFirst(2, others, false, kNow));
  }
  SECTION("a node that starts alone finds others that have the records") {
    others[3].has_records = true;
    others[3].same_zone = false;
    CHECK_FALSE(ShouldReadStoreFirst(0, others, true, kNow));
    CHECK_FALSE(ShouldReadStoreFirst(0, others, false, kNow));
  }
}

// All nodes of a zone began to read at the same moment.
TEST_CASE("readers are lost: nodes take over in groups by their ranks") {
  auto others = Zone(40);
  for (reader_candidate& other : others) {
    other.reads_store = false;
  }
  reader_duty first;
  CHECK(first.DueAt(0, others, kNow) == kNow);
  reader_duty fifth;
  const auto due_at = fifth.DueAt(5, others, kNow);
  REQUIRE(due_at);
  CHECK(*due_at > kNow);
  CHECK(fifth.DueAt(5, others, kNow + millis(50)) == due_at);
  reader_duty last;
  const auto last_due_at = last.DueAt(50, others, kNow);
  REQUIRE(last_due_at);
  CHECK(*last_due_at > *due_at);
  CHECK(*last_due_at <= kNow + millis(300));
  SECTION("a reader is found") {
    others[0].reads_store = true;
    others[1].reads_store = true;
    CHECK_FALSE(fifth.DueAt(5, others, kNow + millis(60)));
    others[0].reads_store = false;
    CHECK(*fifth.DueAt(5, others, kNow + millis(70)) > kNow + millis(70));
  }
  SECTION("the nodes of lower ranks are silent") {
    for (reader_candidate& other : others) {
      other.heard_at = kNow - millis(1'400);
    }
    reader_duty alone;
    CHECK(alone.DueAt(50, others, kNow) == kNow);
  }
}

}  // namespace
}  // namespace peridotarch
