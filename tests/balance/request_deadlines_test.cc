#include "balance/request_deadlines.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

constexpr millis kReadAt(5'000);

TEST_CASE("the answer is sent before the caller gives up") {
  const request_deadlines deadlines =
      DeadlinesFor(kReadAt, millis(1'000), millis(900));
  CHECK(deadlines.work_until == kReadAt + millis(900));
  CHECK(deadlines.answer_by <= kReadAt + millis(880));
  CHECK(deadlines.answer_by >= kReadAt + millis(850));
}

TEST_CASE(
    "a node waits less than a quarter of a second for an instance's timeout "
    "answer") {
  for (const auto caller_timeout :
       {std::optional<millis>(), std::optional<millis>(millis(5'000))}) {
    const request_deadlines deadlines =
        DeadlinesFor(kReadAt, millis(1'000), caller_timeout);
    CHECK(deadlines.work_until == kReadAt + millis(1'000));
    CHECK(deadlines.answer_by > deadlines.work_until);
    CHECK(deadlines.answer_by < deadlines.work_until + millis(250));
  }
}

TEST_CASE("the deadlines of a node that shuts down are capped before its end") {
  const request_deadlines deadlines =
      DeadlinesFor(kReadAt, millis(6'000), millis(6'000));
  const millis end = kReadAt + millis(1'800);
  const request_deadlines capped = CapDeadlines(end, deadlines);
  CHECK(capped.work_until < capped.answer_by);
  CHECK(capped.answer_by < end);
  const request_deadlines uncapped =
      CapDeadlines(end + millis(60'000), deadlines);
  CHECK(uncapped.work_until == deadlines.work_until);
  CHECK(uncapped.answer_by == deadlines.answer_by);
}

constexpr millis kSignal(1'000);
constexpr shutdown_times kShutdown = {kSignal + millis(2'500),
                                      kSignal + millis(5'600)};
constexpr millis kTimeout(3'000);
constexpr millis kObjective(1'500);

std::optional<request_deadlines> Admit(millis taken_at, millis queued) {
  return AdmitAtShutdown(kShutdown,
                         DeadlinesFor(taken_at, kTimeout, std::nullopt),
                         kObjective, taken_at + queued);
}

// With a timeout of 3 s, requests that came 3.1 s after SIGTERM were passed on
// with 1.9 s, and their instances stopped work on them.
TEST_CASE("shutdown: late requests get their whole time or are refused") {
  for (millis at(0); at < millis(5'600); at = at + millis(100)) {
    INFO("taken " << at.count() << " ms after the signal");
    const auto admitted = Admit(kSignal + at, millis(0));
    CHECK(admitted.has_value() == (at < millis(2'500)));
    if (admitted) {
      CHECK(admitted->work_until - (kSignal + at) >= kObjective);
      CHECK(admitted->answer_by < kShutdown.stops_at);
    }
  }
}

TEST_CASE("shutdown: a request that fits whole is taken at any time") {
  constexpr millis kShort(200);
  const millis taken_at = kSignal + millis(4'500);
  const auto admitted =
      AdmitAtShutdown(kShutdown, DeadlinesFor(taken_at, kTimeout, kShort),
                      kObjective, taken_at);
  REQUIRE(admitted.has_value());
  CHECK(admitted->work_until == taken_at + kShort);
}

// The time that a request has spent behind others on its connection was not
// counted: it was passed on with next to no time.
TEST_CASE("shutdown: the time left counts from when the request is served") {
  constexpr millis kTakenAt = kSignal + millis(2'400);
  CHECK(Admit(kTakenAt, millis(0)).has_value());
  CHECK_FALSE(Admit(kTakenAt, millis(1'000)).has_value());
}

// A node that was shutting down answered a request while its instance was at
// work: 250 ms were left for the way there and back, which a lost packet
// exceeds. The order of events: the request is taken 3.6 s after SIGTERM and
// sent once more, arrives late, and the instance stops when its time is up.
TEST_CASE("shutdown: an instance's last answer arrives before the own one") {
  constexpr millis kDelay(260);  // one retransmission, each way
  const millis signal(1'000);
  const millis stops_at = signal + millis(5'600);
  const millis taken_at = signal + millis(3'600);
  const request_deadlines capped = CapDeadlines(
      stops_at, DeadlinesFor(taken_at, millis(5'000), millis(5'000)));
  for (const millis sent_at : {taken_at, taken_at + millis(900)}) {
    const millis time_for_instance = capped.work_until - sent_at;
    REQUIRE(time_for_instance > millis(0));
    const millis instance_stops_at = sent_at + kDelay + time_for_instance;
    CHECK((instance_stops_at + kDelay).count() <= capped.answer_by.count());
  }
}

}  // namespace
}  // namespace peridotarch
