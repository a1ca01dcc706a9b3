// Load pattern: a service whose routes differ widely in work time, such as
// lookups of 320 ms beside status requests of 3 ms.
#include <catch2/catch.hpp>

#include "balance/work_times.h"
#include "core/random.h"
#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);
constexpr uint32_t kLongRoute = 1;
constexpr uint32_t kShortRoute = 2;
constexpr millis kLongWork(320);
constexpr millis kShortWork(3);

choice_request RequestOn(uint32_t route) {
  choice_request request = MakeRequest("s", true);
  request.route = route;
  request.objective = millis(1'000);
  return request;
}

// The short requests lowered the mean work time of the service to a few ms, so
// ordinary long requests counted as slow after 250 ms and most instances were
// suspect at any time.
TEST_CASE("mixed routes: short requests do not make long ones slow") {
  instance_selector selector("a", 1);
  selector.SetInstances(MakeEntries(3, "s"), kStart);
  millis now = kStart;
  for (int i = 0; i < 60; ++i) {
    const bool is_long = i % 3 == 0;
    const uint32_t route = is_long ? kLongRoute : kShortRoute;
    const instance_choice choice = selector.Choose(RequestOn(route), now);
    REQUIRE(choice.basis == choice_basis::kRegular);
    selector.Begin(choice.key);
    const millis work = is_long ? kLongWork : kShortWork;
    now += work;
    selector.End(choice.key, attempt_outcome::kOk, work, now, route);
  }
  const instance_choice choice = selector.Choose(RequestOn(kLongRoute), now);
  CHECK(choice.expected > kLongWork / 2);
  CHECK(choice.slow_after > kLongWork * 3);
}

TEST_CASE("mixed routes: a request waits for those that occupy the slots") {
  work_times work;
  work.NoteRequest(kLongRoute, millis(1'000));
  work.NoteRequest(kShortRoute, millis(1'000));
  for (int i = 0; i < 200; ++i) {
    work.NoteWork(kShortRoute, kShortWork);
    work.NoteWork(kShortRoute, kShortWork);
    work.NoteWork(kLongRoute, kLongWork);
  }
  CHECK(work.MeanOf(kShortRoute) < 10);
  CHECK(work.MeanOf(kLongRoute) == Approx(kLongWork.count()).epsilon(0.1));
  CHECK(work.MeanInSlot() > 0.7 * static_cast<double>(kLongWork.count()));
}

TEST_CASE("mixed routes: the objective stands in for answers not yet seen") {
  work_times work;
  work.NoteRequest(kLongRoute, millis(1'000));
  CHECK(work.MeanOf(kLongRoute) == Approx(300));
  work.NoteWork(kLongRoute, millis(100'000));
  CHECK(work.MeanOf(kLongRoute) < 600);  // an outlier counts up to a limit
}

}  // namespace
}  // namespace peridotarch
