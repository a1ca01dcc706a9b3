#include "balance/request_deadlines.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

constexpr millis kBegun(5'000);

TEST_CASE("the answer leaves before the caller gives up") {
  const request_deadlines times =
      DeadlinesFor(kBegun, millis(1'000), millis(900));
  CHECK(times.work_until == kBegun + millis(900));
  CHECK(times.answer_by <= kBegun + millis(880));
  CHECK(times.answer_by >= kBegun + millis(850));
}

TEST_CASE(
    "an instance's word at the route's timeout is waited for, less than "
    "a quarter of a second") {
  for (const auto waits :
       {std::optional<millis>(), std::optional<millis>(millis(5'000))}) {
    const request_deadlines times = DeadlinesFor(kBegun, millis(1'000), waits);
    CHECK(times.work_until == kBegun + millis(1'000));
    CHECK(times.answer_by > times.work_until);
    CHECK(times.answer_by < times.work_until + millis(250));
  }
}

TEST_CASE("a node that stops asks for no work beyond its end") {
  const request_deadlines times =
      DeadlinesFor(kBegun, millis(6'000), millis(6'000));
  const millis end = kBegun + millis(1'800);
  const request_deadlines last = CapDeadlines(end, times);
  CHECK(last.work_until < last.answer_by);
  CHECK(last.answer_by < end);
  const request_deadlines late = CapDeadlines(end + millis(60'000), times);
  CHECK(late.work_until == times.work_until);
  CHECK(late.answer_by == times.answer_by);
}

}  // namespace
}  // namespace peridotarch
