#include "detection/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the result of the bench depends only on the seed") {
  REQUIRE(BenchDetection(1) == BenchDetection(1));
  REQUIRE(BenchDetection(1) != BenchDetection(2));
}

}  // namespace
}  // namespace peridotarch
