#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(100'000);

// Lets one request to the instance fail at a node, which reports it.
void FailOnce(selector_fleet& fleet, size_t node, instance_key key,
              millis now) {
  fleet[node].Begin(key);
  fleet[node].End(key, attempt_outcome::kFailed, millis(20), now);
  fleet.Report(node, now);
}

void Succeed(selector_fleet& fleet, size_t node, instance_key key, millis now) {
  fleet[node].Begin(key);
  fleet[node].End(key, attempt_outcome::kOk, millis(100), now);
  fleet.Report(node, now);
}

TEST_CASE("gray instance: after one failure at one node, no node chooses it") {
  selector_fleet fleet(36);
  fleet.SetInstances(MakeEntries(6, "payout"), kStart);
  FailOnce(fleet, 7, KeyOf("payout-2"), kStart);
  for (size_t node = 0; node < fleet.size(); ++node) {
    for (int i = 0; i < 20; ++i) {
      const instance_choice choice =
          fleet[node].Choose(MakeRequest("payout"), kStart);
      CHECK(choice.basis == choice_basis::kRegular);
      CHECK(choice.instance.id != "payout-2");
    }
  }
}

TEST_CASE("gray instance: a retryable request tries it after its hold") {
  selector_fleet fleet(3);
  fleet.SetInstances(MakeEntries(6, "ledger"), kStart);
  const instance_key gray = KeyOf("ledger-2");
  FailOnce(fleet, 0, gray, kStart);
  const millis later = kStart + millis(1'001);
  CHECK(fleet[1]
            .Choose(MakeRequest("ledger", true), kStart + millis(900))
            .basis == choice_basis::kRegular);
  const instance_choice trial =
      fleet[1].Choose(MakeRequest("ledger", true), later);
  REQUIRE(trial.basis == choice_basis::kTrial);
  CHECK(trial.key == gray);
  SECTION("there is one trial at a time over all nodes") {
    fleet[1].Begin(gray);
    fleet.Report(1, later);
    CHECK(fleet[2].Choose(MakeRequest("ledger", true), later).basis ==
          choice_basis::kRegular);
  }
  SECTION("two successes in a row clear it at every node") {
    Succeed(fleet, 1, gray, later);
    CHECK(fleet[2].suspects() == 1);
    Succeed(fleet, 2, gray, later);
    CHECK(fleet[0].suspects() == 0);
    CHECK(fleet[1].suspects() == 0);
  }
  SECTION("a failed trial starts a new hold") {
    FailOnce(fleet, 1, gray, later);
    CHECK(fleet[2]
              .Choose(MakeRequest("ledger", true), later + millis(500))
              .basis == choice_basis::kRegular);
  }
}

TEST_CASE("gray instance: a failed trial holds longer than a first failure") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(6, "ledger"), kStart);
  const instance_key gray = KeyOf("ledger-2");
  const auto basis_at = [&](millis now) {
    return fleet[1].Choose(MakeRequest("ledger", true), now).basis;
  };
  FailOnce(fleet, 0, gray, kStart);
  // This request was in flight when the first one failed, so it is no trial.
  FailOnce(fleet, 1, gray, kStart + millis(100));
  const millis second = kStart + millis(1'101);
  CHECK(basis_at(second) == choice_basis::kTrial);
  FailOnce(fleet, 1, gray, second);
  CHECK(basis_at(second + millis(1'500)) == choice_basis::kRegular);
  // The next trial comes within two seconds after the failed one.
  CHECK(basis_at(second + millis(2'000)) == choice_basis::kTrial);
}

// A service of non-idempotent requests alone lost a request every two seconds
// to each of its gray instances.
TEST_CASE("gray instance: requests that cannot be retried try it less often") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(6, "orders"), kStart);
  const instance_key gray = KeyOf("orders-2");
  const auto basis_at = [&](millis now) {
    return fleet[0].Choose(MakeRequest("orders"), now).basis;
  };
  FailOnce(fleet, 0, gray, kStart);
  CHECK(basis_at(kStart + millis(1'500)) == choice_basis::kTrial);
  FailOnce(fleet, 0, gray, kStart + millis(1'500));
  CHECK(basis_at(kStart + millis(5'500)) == choice_basis::kRegular);
  CHECK(basis_at(kStart + millis(6'000)) == choice_basis::kTrial);
}

TEST_CASE("many gray instances: a retry is not used for a trial") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(6, "ledger"), kStart);
  for (int i = 0; i < 3; ++i) {
    FailOnce(fleet, 0, KeyOf("ledger-" + std::to_string(i)), kStart);
  }
  const millis later = kStart + millis(1'500);
  choice_request retry = MakeRequest("ledger", true);
  CHECK(fleet[0].Choose(retry, later).basis == choice_basis::kTrial);
  retry.is_first_attempt = false;
  CHECK(fleet[0].Choose(retry, later).basis == choice_basis::kRegular);
}

TEST_CASE("gray instance: nodes in its own zone try it first") {
  instance_selector near("a", 1);
  instance_selector far("b", 2);
  for (instance_selector* selector : {&near, &far}) {
    selector->SetInstances(MakeEntries(6, "ledger"), kStart);
    selector->Begin(KeyOf("ledger-2"));
    selector->End(KeyOf("ledger-2"), attempt_outcome::kFailed, millis(9),
                  kStart);
  }
  const millis due = kStart + millis(1'010);
  CHECK(near.Choose(MakeRequest("ledger", true), due).basis ==
        choice_basis::kTrial);
  CHECK(far.Choose(MakeRequest("ledger", true), due).basis ==
        choice_basis::kRegular);
  CHECK(far.Choose(MakeRequest("ledger", true), kStart + millis(1'990)).basis ==
        choice_basis::kRegular);
  // If the zone has no nodes, the instance is tried two seconds after it
  // failed.
  CHECK(far.Choose(MakeRequest("ledger", true), kStart + millis(2'000)).basis ==
        choice_basis::kTrial);
}

TEST_CASE(
    "gray instance of a service without retryable requests: the least "
    "urgent requests try it first, any request within two seconds") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(6, "payout"), kStart);
  // The selector has seen both priorities.
  fleet[0].Choose(MakeRequest("payout", false, 0), kStart);
  fleet[0].Choose(MakeRequest("payout", false, 2), kStart);
  FailOnce(fleet, 1, KeyOf("payout-0"), kStart);
  const millis soon = kStart + millis(1'500);
  CHECK(fleet[0].Choose(MakeRequest("payout", false, 0), soon).basis ==
        choice_basis::kRegular);
  CHECK(fleet[0].Choose(MakeRequest("payout", false, 2), soon).basis ==
        choice_basis::kTrial);
  const millis near_limit = kStart + millis(1'900);
  CHECK(fleet[0].Choose(MakeRequest("payout", false, 0), near_limit).basis ==
        choice_basis::kTrial);
}

TEST_CASE(
    "hanging instance: a slow attempt makes it suspect before the attempt "
    "ends") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(3, "ledger"), kStart);
  const instance_key hanging = KeyOf("ledger-1");
  fleet[0].Begin(hanging);
  fleet[0].NoteEarlyOutcome(hanging, attempt_outcome::kSlow, kStart);
  fleet.Report(0, kStart);
  CHECK(fleet[1].suspects() == 1);
  CHECK(fleet[1].Choose(MakeRequest("ledger"), kStart).key != hanging);
}

TEST_CASE("all instances suspect: requests still go to them") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(3, "ledger"), kStart);
  for (const char* id : {"ledger-0", "ledger-1", "ledger-2"}) {
    FailOnce(fleet, 0, KeyOf(id), kStart);
  }
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).basis ==
        choice_basis::kLastResort);
}

// Of 100 requests that cannot be retried, 88 were lost at such an instance.
TEST_CASE("all instances gray: only requests that can be retried go to them") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(3, "ledger"), kStart);
  const millis trial_at = kStart + millis(2'000);
  for (const char* id : {"ledger-0", "ledger-1", "ledger-2"}) {
    FailOnce(fleet, 0, KeyOf(id), kStart);
    FailOnce(fleet, 0, KeyOf(id), trial_at);
  }
  CHECK(fleet[0].Choose(MakeRequest("ledger", true), trial_at).basis ==
        choice_basis::kLastResort);
  const instance_choice refused =
      fleet[0].Choose(MakeRequest("ledger"), trial_at);
  CHECK(refused.basis == choice_basis::kOverload);
  CHECK(refused.retry_after > millis(0));
}

TEST_CASE(
    "many users at once: nodes that report their load to each other fill "
    "slots evenly") {
  selector_fleet fleet(36);
  fleet.SetInstances(MakeEntries(22, "ledger"), kStart);
  std::map<instance_key, int> load_by_instance;
  for (int i = 0; i < 66; ++i) {
    const auto node = static_cast<size_t>(i) % fleet.size();
    const instance_choice choice =
        fleet[node].Choose(MakeRequest("ledger"), kStart);
    REQUIRE(choice.basis == choice_basis::kRegular);
    ++load_by_instance[choice.key];
    fleet[node].Begin(choice.key);
    fleet.Report(node, kStart);
  }
  for (const auto& [key, count] : load_by_instance) {
    CHECK(count == 3);
  }
}

TEST_CASE(
    "many users at once: requests that cannot be served in time are refused "
    "at once, the least urgent first") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(1, "ledger"), kStart);
  const instance_key only = KeyOf("ledger-0");
  bool was_least_urgent_refused_first = false;
  for (int i = 0; i < 40; ++i) {
    const bool is_least_urgent_refused =
        fleet[0].Choose(MakeRequest("ledger", false, 2), kStart).basis ==
        choice_basis::kOverload;
    const bool is_most_urgent_refused =
        fleet[0].Choose(MakeRequest("ledger", false, 0), kStart).basis ==
        choice_basis::kOverload;
    CHECK((is_least_urgent_refused || !is_most_urgent_refused));
    was_least_urgent_refused_first =
        was_least_urgent_refused_first ||
        (is_least_urgent_refused && !is_most_urgent_refused);
    fleet[0].Begin(only);
  }
  CHECK(was_least_urgent_refused_first);
  const instance_choice refused =
      fleet[0].Choose(MakeRequest("ledger"), kStart);
  CHECK(refused.basis == choice_basis::kOverload);
  CHECK(refused.retry_after > millis(0));
}

TEST_CASE("killed nodes: the load that they reported is dropped") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(1, "ledger"), kStart);
  const instance_key only = KeyOf("ledger-0");
  for (int i = 0; i < 3; ++i) {
    fleet[0].Begin(only);
  }
  fleet.Report(0, kStart);
  CHECK(fleet[1].Choose(MakeRequest("ledger"), kStart).in_flight == 3);
  fleet[1].ForgetSilentPeers(kStart + millis(2'000));
  CHECK(fleet[1].Choose(MakeRequest("ledger"), kStart).in_flight == 3);
  fleet[1].ForgetSilentPeers(kStart + millis(3'000));
  CHECK(fleet[1].Choose(MakeRequest("ledger"), kStart).in_flight == 0);
}

TEST_CASE("late and repeated reports change nothing") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(2, "ledger"), kStart);
  load_report report;
  report.incarnation = 5;
  report.number = 2;
  report.load = {{KeyOf("ledger-0"), 2}};
  report.outcomes = {{1, KeyOf("ledger-1"), attempt_outcome::kOk, millis(9)}};
  fleet[0].Apply("peer", report, kStart);
  report.number = 1;
  report.load = {};
  fleet[0].Apply("peer", report, kStart);
  std::set<int> loads;
  for (int i = 0; i < 10; ++i) {
    loads.insert(fleet[0].Choose(MakeRequest("ledger"), kStart).in_flight);
  }
  CHECK(loads == std::set<int>{0});
  // A clock that stepped back gives a later start a lower incarnation.
  report.incarnation = 4;
  report.load = {{KeyOf("ledger-1"), 1}};
  fleet[0].Apply("peer", report, kStart + millis(10'000));
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).key ==
        KeyOf("ledger-0"));
}

TEST_CASE(
    "reused address: an instance whose address another one has taken gets "
    "no more requests") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(2, "ledger"), kStart);
  const instance_key moved = KeyOf("ledger-0");
  fleet[0].Begin(moved);
  fleet[0].End(moved, attempt_outcome::kMoved, millis(2), kStart);
  fleet.Report(0, kStart);
  for (size_t node = 0; node < 2; ++node) {
    for (int i = 0; i < 10; ++i) {
      CHECK(fleet[node].Choose(MakeRequest("ledger", true), kStart).key !=
            moved);
    }
  }
}

TEST_CASE(
    "draining instances get no new requests, and a restart under the same "
    "id clears a suspect") {
  selector_fleet fleet(1);
  auto entries = MakeEntries(2, "ledger");
  entries[0].draining = true;
  fleet.SetInstances(entries, kStart);
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).instance.id ==
        "ledger-1");
  FailOnce(fleet, 0, KeyOf("ledger-1"), kStart);
  CHECK(fleet[0].suspects() == 1);
  entries[1].started_at = 2;
  fleet.SetInstances(entries, kStart);
  CHECK(fleet[0].suspects() == 0);
}

// An instance that fails immediately is never busy, so as the last resort it
// would attract all retries while the healthy instances are merely busy.
TEST_CASE("most instances gray: retries go to busy healthy ones instead") {
  constexpr int kBusy = 16;  // takes about 1.1 s of the 1.2 s that are left
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(6, "ledger"), kStart);
  for (int i = 0; i < 4; ++i) {
    FailOnce(fleet, 0, KeyOf("ledger-" + std::to_string(i)), kStart);
  }
  for (int i = 0; i < kBusy; ++i) {
    fleet[0].Begin(KeyOf("ledger-4"));
    fleet[0].Begin(KeyOf("ledger-5"));
  }
  choice_request retry = MakeRequest("ledger");
  retry.is_first_attempt = false;
  CHECK(fleet[0].Choose(retry, kStart).basis == choice_basis::kRegular);
}

TEST_CASE(
    "all instances suspect: one that shed load is chosen before gray ones") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(6, "ledger"), kStart);
  for (int i = 0; i < 6; ++i) {
    const instance_key key = KeyOf("ledger-" + std::to_string(i));
    fleet[0].Begin(key);
    fleet[0].End(key,
                 i == 3 ? attempt_outcome::kShed : attempt_outcome::kFailed,
                 millis(2), kStart);
  }
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).instance.id ==
        "ledger-3");
}

TEST_CASE("no faults: requests stay in their zone while it has room") {
  instance_selector selector("a", 1);
  std::vector<instance_entry> entries = {MakeEntry("near", "ledger", "a"),
                                         MakeEntry("far", "ledger", "b")};
  selector.SetInstances(entries, kStart);
  for (int i = 0; i < 3; ++i) {
    const instance_choice choice =
        selector.Choose(MakeRequest("ledger"), kStart);
    CHECK(choice.instance.id == "near");
    selector.Begin(choice.key);
  }
  CHECK(selector.Choose(MakeRequest("ledger"), kStart).instance.id == "far");
}

// Reports to other zones are paid for by the byte.
TEST_CASE("no faults: good answers of healthy instances are not reported") {
  selector_fleet fleet(2);
  fleet.SetInstances(MakeEntries(2, "ledger"), kStart);
  Succeed(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.empty());
  FailOnce(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.size() == 1);
  Succeed(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.size() == 2);
}

TEST_CASE("a service without instances: no instance is chosen") {
  selector_fleet fleet(1);
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).basis ==
        choice_basis::kNoInstance);
}

}  // namespace
}  // namespace peridotarch
