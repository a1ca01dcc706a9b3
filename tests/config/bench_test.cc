#include "config/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the hash of the bench is the same for the same seed only") {
  CHECK(BenchConfig(1) == BenchConfig(1));
  CHECK(BenchConfig(1) != BenchConfig(2));
}

}  // namespace
}  // namespace peridotarch
