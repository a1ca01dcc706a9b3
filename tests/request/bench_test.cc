#include "request/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the bench gives the same number for the same seed only") {
  CHECK(BenchRequest(1) == BenchRequest(1));
  CHECK(BenchRequest(1) != BenchRequest(2));
}

}  // namespace
}  // namespace peridotarch
