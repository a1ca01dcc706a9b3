#include "balance/read_schedule.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

constexpr millis kPause(500);
constexpr millis kLong(3'000);
// The stated bound, less 0.5 s for another node to take over and pass it on.
constexpr millis kMaxUnnoticed(1'500);

TEST_CASE("a read waits only after one that has succeeded") {
  read_schedule schedule(kPause);
  CHECK(schedule.Begin(kLong, millis(0)).wait == millis(0));
  CHECK_FALSE(schedule.is_current());
  schedule.NoteAnswered(false);
  CHECK(schedule.is_current());
  CHECK(schedule.Begin(kLong, millis(0)).wait > millis(0));
  CHECK(schedule.Begin(millis(20), millis(0)).wait == millis(20));
  schedule.NoteDelegated();
  CHECK_FALSE(schedule.is_current());
  CHECK(schedule.Begin(kLong, millis(0)).wait == millis(0));
}

// Others relied for 3.7 s on a reader whose read got no answer (review/10).
TEST_CASE("a reader without answers is noticed while a change is in time") {
  for (const bool has_records : {false, true}) {
    read_schedule schedule(kPause);
    schedule.NoteAnswered(has_records);
    const millis silent_since(0);
    const millis begin = silent_since + schedule.PauseAfterAnswer();
    const millis noticed = begin + schedule.Begin(kLong, begin).timeout;
    CHECK(noticed - silent_since < kMaxUnnoticed);
    CHECK(schedule.NoteFailed(noticed));
    CHECK_FALSE(schedule.is_current());
  }
}

TEST_CASE("a read that is refused while it waits is repeated once") {
  read_schedule schedule(kPause);
  schedule.NoteAnswered(false);
  const read_times first = schedule.Begin(kLong, millis(0));
  const millis refused_at(10);
  CHECK(schedule.NoteFailed(refused_at));
  CHECK(schedule.is_current());
  const read_times second = schedule.Begin(kLong, refused_at);
  CHECK(second.wait == millis(0));
  CHECK(refused_at + second.timeout <= first.timeout);
  SECTION("it succeeds") {
    schedule.NoteAnswered(false);
    CHECK(schedule.is_current());
    // Not each time, or a store that refuses every other read would be asked
    // without a pause.
    schedule.Begin(kLong, refused_at);
    CHECK_FALSE(schedule.NoteFailed(refused_at));
    CHECK_FALSE(schedule.is_current());
  }
  SECTION("it is refused, too") {
    CHECK_FALSE(schedule.NoteFailed(refused_at));
    CHECK_FALSE(schedule.is_current());
  }
}

}  // namespace
}  // namespace peridotarch
