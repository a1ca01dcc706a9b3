#include "config/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the bench gives one number for one seed") {
  CHECK(BenchConfig(1) == BenchConfig(1));
  CHECK(BenchConfig(1) != BenchConfig(2));
}

}  // namespace
}  // namespace peridotarch
