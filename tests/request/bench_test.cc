#include "request/bench.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("the scenarios give one number for one seed") {
  CHECK(BenchRequest(1) == BenchRequest(1));
  CHECK(BenchRequest(1) != BenchRequest(2));
}

}  // namespace
}  // namespace peridotarch
