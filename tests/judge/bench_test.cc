#include "judge/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the bench gives the same number each time, by seed") {
  REQUIRE(BenchJudge(1) == BenchJudge(1));
  REQUIRE(BenchJudge(1) != BenchJudge(2));
}

}  // namespace
}  // namespace peridotarch
