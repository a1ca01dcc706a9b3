#include "detection/outlier_detector.h"

#include <catch2/catch.hpp>

#include "core/invariant.h"
#include "judged_owner.h"
#include "service_sim.h"
#include "shard_world.h"

namespace peridotarch {
namespace {

using measure::fault_kind;
using measure::judged_owner;
using measure::kSecond;
using measure::service_sim;
using measure::service_size;
using measure::weather;

constexpr int64_t kOnset = 12 * kSecond;
constexpr int64_t kDetection = 2 * kSecond;

const std::vector<service_size> kToday = {
    {"box-ledger", 20, 3, 3, 36, 36, ejection_tradeoff::kFalseEjections, 0.5},
    {"payout-desk", 6, 3, 3, 12, 36, ejection_tradeoff::kFalseEjections, 0.4},
    {"resident-desk", 23, 4, 4, 56, 36, ejection_tradeoff::kDetectionTime, 0.6},
    {"field-operations", 8, 4, 4, 20, 36, ejection_tradeoff::kDetectionTime,
     0.5},
};

struct result {
  int64_t detected = -1;  ///< Microseconds after the onset; -1 if never.
  double false_ejections = 0;
  bool ejected = false;
};

result Simulate(service_size size, const weather& sky, fault_kind fault,
                int64_t span, uint64_t seed) {
  if (fault == fault_kind::kOneWayCut || fault == fault_kind::kBadLink) {
    size.nodes = 1;
  }
  const int victim = static_cast<int>(seed) % size.instances;
  service_sim<judged_owner> sim(size, sky, fault, victim, kOnset, seed);
  judged_owner owner(size, [&](int node, int instance, int64_t now) {
    return sim.ProbeAnswered(node, instance, now);
  });
  result found;
  const int64_t at = sim.Run(owner, kOnset + span, false);
  found.detected = at < 0 ? -1 : at - kOnset;
  const bool has_victim = fault != fault_kind::kNone &&
                          fault != fault_kind::kBadLink &&
                          fault != fault_kind::kSlowZone;
  found.false_ejections = owner.Ejections(has_victim ? victim : -1);
  found.ejected = owner.Ejected(victim);
  return found;
}

TEST_CASE(
    "a gray instance gets no regular work after 2 s and no other is ejected") {
  SetBreachesFatal(true);
  for (const service_size& size : kToday) {
    for (const fault_kind fault :
         {fault_kind::kFailsWork, fault_kind::kHalfFails, fault_kind::kSlow,
          fault_kind::kHangs, fault_kind::kOneRoute, fault_kind::kFlaps,
          fault_kind::kCrash}) {
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(size.name, seed,
                measure::kFaultNames[static_cast<size_t>(fault)]);
        const result found =
            Simulate(size, weather(), fault, 15 * kSecond, seed);
        REQUIRE(found.detected >= 0);
        REQUIRE(found.detected <= kDetection);
        REQUIRE(found.false_ejections == 0);
        REQUIRE(found.ejected == (fault != fault_kind::kCrash));
      }
    }
  }
}

TEST_CASE("no instance is ejected for a fault of its zone or network path") {
  SetBreachesFatal(true);
  for (const service_size& size : kToday) {
    for (const fault_kind fault :
         {fault_kind::kSlowZone, fault_kind::kBadLink}) {
      CAPTURE(size.name, measure::kFaultNames[static_cast<size_t>(fault)]);
      const result found = Simulate(size, weather(), fault, 60 * kSecond, 1);
      REQUIRE(found.false_ejections == 0);
    }
    CAPTURE(size.name);
    const result cut =
        Simulate(size, weather(), fault_kind::kOneWayCut, 30 * kSecond, 1);
    REQUIRE(cut.detected >= 0);
    REQUIRE_FALSE(cut.ejected);
  }
}

TEST_CASE("a flapping instance is ejected for longer each time") {
  SetBreachesFatal(true);
  shard_world world(1);
  std::vector<millis> ejection_times;
  millis ejected_since;
  for (int i = 0; i < 12'000; ++i) {
    // The instance is healthy until its probation ends, then sick again.
    const instance_state before = world.StateOf(0, 1);
    const bool was_ejected = before == instance_state::kEjected ||
                             before == instance_state::kProbation;
    world.sick.clear();
    if (!was_ejected && world.now() > millis(4'000)) {
      world.sick.insert(1);
    }
    world.Step();
    const instance_state state = world.StateOf(0, 1);
    if (state == instance_state::kEjected && ejected_since == millis()) {
      ejected_since = world.now();
    }
    if (state == instance_state::kOpen && ejected_since != millis()) {
      ejection_times.push_back(world.now() - ejected_since);
      ejected_since = millis();
    }
  }
  REQUIRE(ejection_times.size() >= 3);
  for (size_t i = 1; i < ejection_times.size(); ++i) {
    REQUIRE(ejection_times[i] > ejection_times[i - 1]);
  }
}

TEST_CASE("an outdated list does not bring a leaving instance back") {
  shard_world world(2);
  for (int i = 0; i < 300; ++i) {
    world.Step();
  }
  world.Drain(0, 0);
  REQUIRE(world.StateOf(0, 0) == instance_state::kLeaving);
  REQUIRE(world.StateOf(1, 0) == instance_state::kLeaving);
  world.faults.stale_list = true;
  for (int i = 0; i < 300; ++i) {
    world.Step();
    REQUIRE(world.StateOf(0, 0) == instance_state::kLeaving);
  }
}

TEST_CASE("a departure at the floor reinstates an ejected instance at once") {
  shard_world world(3);
  SetBreachesFatal(true);
  for (int i = 0; i < 400; ++i) {
    world.Step();
  }
  world.sick = {0, 1};
  for (int i = 0; i < 400; ++i) {
    world.Step();
  }
  REQUIRE(world.at(0).HealthySlots() == shard_world::kFloor);
  world.Drain(5, 0);
  world.Step();
  world.Step();
  REQUIRE(world.at(0).CapacitySlots() ==
          shard_world::kFloor + shard_world::kSlots);
  REQUIRE(world.at(0).HealthySlots() == shard_world::kFloor);
  world.Drain(4, 0);
  world.Step();
  world.Step();
  REQUIRE(world.at(0).HealthySlots() == shard_world::kFloor);
  REQUIRE(world.failure().empty());
}

TEST_CASE("while the log is away an owner ejects within its allowance") {
  SetBreachesFatal(true);
  shard_world world(4);
  for (int i = 0; i < 400; ++i) {
    world.Step();
  }
  world.faults.log_away = true;
  world.sick = {0, 1};
  for (int i = 0; i < 300; ++i) {
    world.Step();
  }
  const auto is_ejected = [&](int instance) {
    const instance_state state = world.StateOf(0, instance);
    return state == instance_state::kEjected ||
           state == instance_state::kProbation;
  };
  REQUIRE(is_ejected(0) + is_ejected(1) == 1);
  world.faults.log_away = false;
  for (int i = 0; i < 300; ++i) {
    world.Step();
  }
  REQUIRE(is_ejected(0) + is_ejected(1) == 2);
  REQUIRE(world.at(0).HealthySlots() == shard_world::kFloor);
}

}  // namespace
}  // namespace peridotarch
