#include "balance/instance_health.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);
constexpr millis kFloorTime(2'000);

/// Returns how long the instance is held after a trial that ends like this as
/// soon as one is due.
millis HoldAfterTrial(instance_health& health, millis& now,
                      attempt_outcome outcome) {
  now = now - health.TrialOverdue(now);
  health.RecordOutcome(outcome, now);
  return millis(0) - health.TrialOverdue(now);
}

// Some nodes were cut off from an instance that others could reach. Each trial
// by one of them kept it out of use for two seconds more.
TEST_CASE("partial cut: another node tries soon after one that can't connect") {
  instance_health health;
  millis now = kStart;
  health.RecordOutcome(attempt_outcome::kBroken, now);
  CHECK(HoldAfterTrial(health, now, attempt_outcome::kUnreachable) <=
        millis(300));
  SECTION("a late report of the same kind does not hold it for longer") {
    const millis overdue = health.TrialOverdue(now);
    health.RecordOutcome(attempt_outcome::kUnreachable, now + millis(5));
    CHECK(health.TrialOverdue(now) == overdue);
  }
  SECTION("trials of an instance that is down become rare") {
    int trials = 1;
    for (const millis end = now + millis(10'000); now < end; ++trials) {
      HoldAfterTrial(health, now, attempt_outcome::kUnreachable);
    }
    CHECK(trials < 11);
  }
  SECTION("an instance that answers is held as after other failures") {
    const millis hold = HoldAfterTrial(health, now, attempt_outcome::kFailed);
    CHECK(hold > millis(1'000));
    CHECK(hold < kFloorTime);
  }
}

TEST_CASE("an instance that can't be reached first is tried within the floor") {
  instance_health health;
  CHECK(health.RecordOutcome(attempt_outcome::kUnreachable, kStart));
  CHECK(health.is_held(kStart));
  CHECK_FALSE(health.is_held(kStart + kFloorTime));
}

}  // namespace
}  // namespace peridotarch
