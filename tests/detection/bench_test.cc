#include "detection/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the bench gives the same number each time, by seed") {
  REQUIRE(BenchDetection(1) == BenchDetection(1));
  REQUIRE(BenchDetection(1) != BenchDetection(2));
}

}  // namespace
}  // namespace peridotarch
