#include "balance/reader_choice.h"

#include <catch2/catch.hpp>
#include <vector>

namespace peridotarch {
namespace {

constexpr millis kNow(50'000);

std::vector<reader_candidate> Zone(int nodes) {
  std::vector<reader_candidate> zone;
  for (int i = 0; i < nodes; ++i) {
    zone.push_back({static_cast<uint64_t>(i + 1), true, true, kNow});
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
    "silent readers, readers whose last read failed and readers of other "
    "zones do not count") {
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
    others[1].same_zone = false;
    CHECK(ShouldReadStore(4, others, kNow));
  }
}

}  // namespace
}  // namespace peridotarch
