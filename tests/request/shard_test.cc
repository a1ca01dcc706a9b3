#include "request/shard.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>

#include "core/invariant.h"
#include "core/random.h"

namespace peridotarch {
namespace {

using action = shard_action::action;

std::vector<instance_view> Instances(int count, int slots) {
  std::vector<instance_view> views;
  for (int i = 0; i < count; ++i) {
    views.push_back({"i" + std::to_string(i), "z" + std::to_string(i % 3),
                     slots, instance_state::kOpen, millis()});
  }
  return views;
}

call_info Call(int64_t deadline, const std::string& zone = "z0") {
  return {millis(deadline), zone, true, ""};
}

TEST_CASE("a shard grants exactly its slots and queues the rest") {
  SetBreachesFatal(true);
  shard owner;
  owner.SetInstances(Instances(2, 3), millis(0));
  for (ticket id = 0; id < 8; ++id) {
    owner.Admit(id, Call(1000), millis(0));
  }
  std::map<std::string, int> granted;
  for (const shard_action& done : owner.Tick(millis(0))) {
    REQUIRE(done.kind == action::kGrant);
    ++granted[done.instance];
  }
  CHECK(granted["i0"] == 3);
  CHECK(granted["i1"] == 3);
  CHECK(owner.queued() == 2);
  owner.Release(0, millis(10));
  CHECK(owner.Tick(millis(10)).size() == 1);
}

TEST_CASE(
    "a shard prefers the least busy instance and then the caller's zone") {
  shard owner;
  owner.SetInstances(Instances(3, 2), millis(0));
  owner.Admit(1, Call(1000, "z2"), millis(0));
  CHECK(owner.Tick(millis(0)).at(0).instance == "i2");
  owner.Admit(2, Call(1000, "z2"), millis(0));
  CHECK(owner.Tick(millis(0)).at(0).instance != "i2");
}

TEST_CASE("a suspect gets non-idempotent work only when the others are full") {
  shard owner;
  auto views = Instances(2, 1);
  views[0].state = instance_state::kSuspect;
  owner.SetInstances(views, millis(0));
  call_info non_idempotent = Call(1000, "z0");
  non_idempotent.idempotent = false;
  owner.Admit(1, non_idempotent, millis(0));
  CHECK(owner.Tick(millis(0)).at(0).instance == "i1");
  owner.Admit(2, non_idempotent, millis(0));
  CHECK(owner.Tick(millis(0)).at(0).instance == "i0");
}

TEST_CASE("leaving and ejected instances get no work") {
  shard owner;
  auto views = Instances(2, 1);
  views[0].state = instance_state::kLeaving;
  views[1].state = instance_state::kEjected;
  owner.SetInstances(views, millis(0));
  owner.Admit(1, Call(1000), millis(0));
  const auto done = owner.Tick(millis(0));
  REQUIRE(done.size() == 1);
  CHECK(done[0].kind == action::kRefuse);
  CHECK(done[0].why == reason::kNoCapacity);
}

TEST_CASE("queued calls are refused when the last instance leaves") {
  shard owner;
  auto views = Instances(1, 1);
  owner.SetInstances(views, millis(0));
  owner.Admit(1, Call(1000), millis(0));
  owner.Admit(2, Call(1000), millis(0));
  CHECK(owner.Tick(millis(0)).size() == 1);
  views[0].state = instance_state::kLeaving;
  owner.SetInstances(views, millis(1));
  const auto done = owner.Tick(millis(1));
  REQUIRE(done.size() == 1);
  CHECK(done[0].why == reason::kNoCapacity);
}

TEST_CASE("an instance on probation gets a trickle of idempotent work") {
  shard owner;
  auto views = Instances(2, 3);
  views[0].state = instance_state::kProbation;
  owner.SetInstances(views, millis(5000));
  call_info non_idempotent = Call(9000);
  non_idempotent.idempotent = false;
  owner.Admit(1, non_idempotent, millis(5000));
  CHECK(owner.Tick(millis(5000)).at(0).instance == "i1");
  owner.Admit(2, Call(9000), millis(5000));
  owner.Admit(3, Call(9000), millis(5000));
  const auto done = owner.Tick(millis(5000));
  CHECK(done.at(0).instance == "i0");
  CHECK(done.at(1).instance == "i1");
}

TEST_CASE("a cold instance opens slot by slot") {
  shard owner;
  auto views = Instances(1, 3);
  views[0].state = instance_state::kCold;
  views[0].since = millis(0);
  owner.SetInstances(views, millis(0));
  for (ticket id = 0; id < 3; ++id) {
    owner.Admit(id, Call(100'000), millis(0));
  }
  owner.Tick(millis(0));
  CHECK(owner.InFlightAt("i0") == 1);
  owner.Tick(millis(50));
  CHECK(owner.InFlightAt("i0") == 1);
}

TEST_CASE("a retry avoids the instance of the failed attempt") {
  shard owner;
  owner.SetInstances(Instances(2, 1), millis(0));
  call_info again = Call(1000);
  again.excluded_instance = "i0";
  owner.Admit(1, again, millis(0));
  CHECK(owner.Tick(millis(0)).at(0).instance == "i1");
  owner.Admit(2, again, millis(0));
  CHECK(owner.Tick(millis(0)).empty());
  owner.Release(1, millis(1));
  CHECK(owner.Tick(millis(1)).at(0).instance == "i1");
}

TEST_CASE("a slot whose attempt may still run is not granted again") {
  shard owner;
  owner.SetInstances(Instances(1, 1), millis(0));
  owner.Admit(1, Call(1000), millis(0));
  owner.Tick(millis(0));
  owner.ReleaseAt(1, millis(50));
  owner.Admit(2, Call(1000), millis(1));
  CHECK(owner.Tick(millis(49)).empty());
  CHECK(owner.Tick(millis(50)).size() == 1);
}

TEST_CASE("work in flight stays counted while its instance is not listed") {
  SetBreachesFatal(true);
  shard owner;
  owner.SetInstances(Instances(1, 1), millis(0));
  owner.Admit(1, Call(1000), millis(0));
  owner.Tick(millis(0));
  owner.SetInstances({}, millis(1));
  owner.SetInstances(Instances(1, 1), millis(2));
  owner.Admit(2, Call(1000), millis(2));
  CHECK(owner.Tick(millis(2)).empty());
  owner.Release(1, millis(3));
  CHECK(owner.Tick(millis(3)).size() == 1);
}

// Checks random calls against a model with its own counts: no instance gets
// more calls than it has slots, and each ticket is answered exactly once.
TEST_CASE("random schedules never exceed the slots and answer each call once") {
  SetBreachesFatal(true);
  const uint64_t seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
  INFO("seed " << seed);
  random_bits random(seed);
  shard owner;
  std::map<ticket, int> answers;
  std::map<ticket, std::string> running;
  std::map<std::string, int> busy;
  ticket next = 0;
  auto views = Instances(5, 3);
  millis now{0};
  for (int step = 0; step < 20'000; ++step) {
    now += millis(static_cast<int64_t>(random.Below(4)));
    if (random.Below(50) == 0) {
      for (instance_view& view : views) {
        view.state = static_cast<instance_state>(random.Below(6));
        view.since = now;
      }
      const size_t kept = random.Below(views.size() + 1);
      owner.SetInstances(std::span(views).first(kept), now);
    }
    const uint64_t operation = random.Below(3);
    if (operation == 0) {
      const auto left = static_cast<int64_t>(random.Below(200));
      answers[next] = 0;
      owner.Admit(next++, Call(now.count() + left), now);
    }
    if (operation == 1 && !running.empty()) {
      const auto ended = running.begin();
      --busy[ended->second];
      owner.Release(ended->first, now);
      running.erase(ended);
    }
    for (const shard_action& done : owner.Tick(now)) {
      REQUIRE(++answers[done.id] == 1);
      if (done.kind == action::kGrant) {
        running[done.id] = done.instance;
        REQUIRE(++busy[done.instance] <= 3);
      }
    }
  }
  for (const shard_action& done : owner.Tick(now + millis(1000))) {
    ++answers[done.id];
  }
  for (const auto& [id, count] : answers) {
    REQUIRE(count == 1);
  }
}

}  // namespace
}  // namespace peridotarch

namespace peridotarch {
namespace {

TEST_CASE("a suspect gets a trickle of idempotent work and no other") {
  shard owner;
  instance_view suspect;
  suspect.id = "suspect";
  suspect.slots = 3;
  suspect.state = instance_state::kSuspect;
  std::vector<instance_view> views = {suspect};
  for (int i = 0; i < 4; ++i) {
    instance_view open = suspect;
    open.id = "open" + std::to_string(i);
    open.state = instance_state::kOpen;
    views.push_back(open);
  }
  owner.SetInstances(views, millis(0));
  int at_suspect = 0;
  for (int i = 0; i < 1000; ++i) {
    const millis now(10 * i);
    call_info call;
    call.deadline = now + millis(1000);
    call.idempotent = i % 2 == 0;
    owner.Admit(static_cast<ticket>(i + 1), call, now);
    for (const shard_action& action : owner.Tick(now)) {
      REQUIRE(action.kind == shard_action::action::kGrant);
      const bool is_suspect = action.instance == "suspect";
      REQUIRE((!is_suspect || call.idempotent));
      at_suspect += is_suspect ? 1 : 0;
      owner.Release(action.id, now);
    }
  }
  // The suspect gets at most a tenth of the 250 requests that each of the four
  // healthy instances gets, and at least one request every two seconds.
  REQUIRE(at_suspect >= 5);
  REQUIRE(at_suspect <= 25);
}

}  // namespace
}  // namespace peridotarch
