#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(100'000);

// Fails the instance once at a node and tells the others.
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

TEST_CASE("gray instance: one failure at one node moves the fleet's work") {
  selector_fleet fleet(36);
  fleet.SetInstances(Entries(6, "payout"), kStart);
  FailOnce(fleet, 7, KeyOf("payout-2"), kStart);
  for (size_t node = 0; node < fleet.size(); ++node) {
    for (int i = 0; i < 20; ++i) {
      const instance_choice choice = fleet[node].Choose(Call("payout"), kStart);
      CHECK(choice.basis == choice_basis::kRegular);
      CHECK(choice.instance.id != "payout-2");
    }
  }
}

TEST_CASE("gray instance: idempotent work tries it once its hold has ended") {
  selector_fleet fleet(3);
  fleet.SetInstances(Entries(6, "ledger"), kStart);
  const instance_key sick = KeyOf("ledger-2");
  FailOnce(fleet, 0, sick, kStart);
  const millis later = kStart + millis(1'001);
  CHECK(fleet[1].Choose(Call("ledger", true), kStart + millis(900)).basis ==
        choice_basis::kRegular);
  const instance_choice trial = fleet[1].Choose(Call("ledger", true), later);
  REQUIRE(trial.basis == choice_basis::kTrial);
  CHECK(trial.key == sick);
  SECTION("one trial at a time, over all nodes") {
    fleet[1].Begin(sick);
    fleet.Report(1, later);
    CHECK(fleet[2].Choose(Call("ledger", true), later).basis ==
          choice_basis::kRegular);
  }
  SECTION("two successes in a row clear it at every node") {
    Succeed(fleet, 1, sick, later);
    CHECK(fleet[2].suspects() == 1);
    Succeed(fleet, 2, sick, later);
    CHECK(fleet[0].suspects() == 0);
    CHECK(fleet[1].suspects() == 0);
  }
  SECTION("a failed trial holds it again") {
    FailOnce(fleet, 1, sick, later);
    CHECK(fleet[2].Choose(Call("ledger", true), later + millis(500)).basis ==
          choice_basis::kRegular);
  }
}

TEST_CASE("gray instance: a failed trial waits longer than a first failure") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(6, "ledger"), kStart);
  const instance_key sick = KeyOf("ledger-2");
  const auto basis_at = [&](millis now) {
    return fleet[1].Choose(Call("ledger", true), now).basis;
  };
  FailOnce(fleet, 0, sick, kStart);
  // Out already when the first one failed: no trial.
  FailOnce(fleet, 1, sick, kStart + millis(100));
  const millis second = kStart + millis(1'101);
  CHECK(basis_at(second) == choice_basis::kTrial);
  FailOnce(fleet, 1, sick, second);
  CHECK(basis_at(second + millis(1'500)) == choice_basis::kRegular);
  // Sound again two seconds after its own failure.
  CHECK(basis_at(second + millis(2'000)) == choice_basis::kTrial);
}

TEST_CASE("many gray instances: a repeat is not sent to another suspect") {
  selector_fleet fleet(1);
  fleet.SetInstances(Entries(6, "ledger"), kStart);
  for (int i = 0; i < 3; ++i) {
    FailOnce(fleet, 0, KeyOf("ledger-" + std::to_string(i)), kStart);
  }
  const millis later = kStart + millis(1'500);
  choice_request repeat = Call("ledger", true);
  CHECK(fleet[0].Choose(repeat, later).basis == choice_basis::kTrial);
  repeat.first = false;
  CHECK(fleet[0].Choose(repeat, later).basis == choice_basis::kRegular);
}

TEST_CASE("gray instance: its own zone tries it first") {
  instance_selector near("a", 1);
  instance_selector far("b", 2);
  for (instance_selector* board : {&near, &far}) {
    board->SetInstances(Entries(6, "ledger"), kStart);
    board->Begin(KeyOf("ledger-2"));
    board->End(KeyOf("ledger-2"), attempt_outcome::kFailed, millis(9), kStart);
  }
  const millis due = kStart + millis(1'010);
  CHECK(near.Choose(Call("ledger", true), due).basis == choice_basis::kTrial);
  CHECK(far.Choose(Call("ledger", true), due).basis == choice_basis::kRegular);
  CHECK(far.Choose(Call("ledger", true), due + millis(300)).basis ==
        choice_basis::kTrial);
}

TEST_CASE(
    "gray instance of a service without idempotent requests: tried "
    "within two seconds, by the least urgent first") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(6, "payout"), kStart);
  // Both kinds of requests have been seen.
  fleet[0].Choose(Call("payout", false, 0), kStart);
  fleet[0].Choose(Call("payout", false, 2), kStart);
  FailOnce(fleet, 1, KeyOf("payout-0"), kStart);
  const millis soon = kStart + millis(1'500);
  CHECK(fleet[0].Choose(Call("payout", false, 0), soon).basis ==
        choice_basis::kRegular);
  CHECK(fleet[0].Choose(Call("payout", false, 2), soon).basis ==
        choice_basis::kTrial);
  const millis bound = kStart + millis(1'900);
  CHECK(fleet[0].Choose(Call("payout", false, 0), bound).basis ==
        choice_basis::kTrial);
}

TEST_CASE(
    "instance that hangs: attempts that are out for long count before "
    "they end") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(3, "ledger"), kStart);
  const instance_key hung = KeyOf("ledger-1");
  fleet[0].Begin(hung);
  fleet[0].NoteEarlyOutcome(hung, attempt_outcome::kSlow, kStart);
  fleet.Report(0, kStart);
  CHECK(fleet[1].suspects() == 1);
  CHECK(fleet[1].Choose(Call("ledger"), kStart).key != hung);
}

TEST_CASE("every instance suspect: work goes to them all the same") {
  selector_fleet fleet(1);
  fleet.SetInstances(Entries(3, "ledger"), kStart);
  for (const char* id : {"ledger-0", "ledger-1", "ledger-2"}) {
    FailOnce(fleet, 0, KeyOf(id), kStart);
  }
  CHECK(fleet[0].Choose(Call("ledger"), kStart).basis ==
        choice_basis::kLastResort);
}

TEST_CASE("many users at once: nodes that share a board fill slots evenly") {
  selector_fleet fleet(36);
  fleet.SetInstances(Entries(22, "ledger"), kStart);
  std::map<instance_key, int> there;
  for (int i = 0; i < 66; ++i) {
    const auto node = static_cast<size_t>(i) % fleet.size();
    const instance_choice choice = fleet[node].Choose(Call("ledger"), kStart);
    REQUIRE(choice.basis == choice_basis::kRegular);
    ++there[choice.key];
    fleet[node].Begin(choice.key);
    fleet.Report(node, kStart);
  }
  for (const auto& [key, count] : there) {
    CHECK(count == 3);
  }
}

TEST_CASE(
    "many users at once: what cannot be served in time is refused at "
    "once, the least urgent first") {
  selector_fleet fleet(1);
  fleet.SetInstances(Entries(1, "ledger"), kStart);
  const instance_key only = KeyOf("ledger-0");
  bool least_refused = false;
  for (int i = 0; i < 40; ++i) {
    const bool least =
        fleet[0].Choose(Call("ledger", false, 2), kStart).basis ==
        choice_basis::kOverload;
    const bool most = fleet[0].Choose(Call("ledger", false, 0), kStart).basis ==
                      choice_basis::kOverload;
    CHECK((least || !most));
    least_refused = least_refused || (least && !most);
    fleet[0].Begin(only);
  }
  CHECK(least_refused);
  const instance_choice refused = fleet[0].Choose(Call("ledger"), kStart);
  CHECK(refused.basis == choice_basis::kOverload);
  CHECK(refused.retry_after > millis(0));
}

TEST_CASE("killed nodes: the load that they reported is forgotten") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(1, "ledger"), kStart);
  const instance_key only = KeyOf("ledger-0");
  for (int i = 0; i < 3; ++i) {
    fleet[0].Begin(only);
  }
  fleet.Report(0, kStart);
  CHECK(fleet[1].Choose(Call("ledger"), kStart).in_flight == 3);
  fleet[1].ForgetSilentPeers(kStart + millis(2'000));
  CHECK(fleet[1].Choose(Call("ledger"), kStart).in_flight == 3);
  fleet[1].ForgetSilentPeers(kStart + millis(3'000));
  CHECK(fleet[1].Choose(Call("ledger"), kStart).in_flight == 0);
}

TEST_CASE("reports that are late or repeated change nothing") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(2, "ledger"), kStart);
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
    loads.insert(fleet[0].Choose(Call("ledger"), kStart).in_flight);
  }
  CHECK(loads == std::set<int>{0});
  // A clock that stepped back gives a later start a lower number.
  report.incarnation = 4;
  report.load = {{KeyOf("ledger-1"), 1}};
  fleet[0].Apply("peer", report, kStart + millis(10'000));
  CHECK(fleet[0].Choose(Call("ledger"), kStart).key == KeyOf("ledger-0"));
}

TEST_CASE(
    "address reused: an instance that answered for another gets no more "
    "work") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(2, "ledger"), kStart);
  const instance_key moved = KeyOf("ledger-0");
  fleet[0].Begin(moved);
  fleet[0].End(moved, attempt_outcome::kMoved, millis(2), kStart);
  fleet.Report(0, kStart);
  for (size_t node = 0; node < 2; ++node) {
    for (int i = 0; i < 10; ++i) {
      CHECK(fleet[node].Choose(Call("ledger", true), kStart).key != moved);
    }
  }
}

TEST_CASE(
    "draining instances get no new work, and a restart under the same "
    "id begins afresh") {
  selector_fleet fleet(1);
  auto entries = Entries(2, "ledger");
  entries[0].draining = true;
  fleet.SetInstances(entries, kStart);
  CHECK(fleet[0].Choose(Call("ledger"), kStart).instance.id == "ledger-1");
  FailOnce(fleet, 0, KeyOf("ledger-1"), kStart);
  CHECK(fleet[0].suspects() == 1);
  entries[1].started_at = 2;
  fleet.SetInstances(entries, kStart);
  CHECK(fleet[0].suspects() == 0);
}

// An instance that fails at once is never busy, so as the last resort it would
// draw the repeats of all that is merely busy.
TEST_CASE("most instances gray: repeats wait at busy sound ones instead") {
  constexpr int kBusy = 16;  // about 1.1 s of the 1.2 s that are left
  selector_fleet fleet(1);
  fleet.SetInstances(Entries(6, "ledger"), kStart);
  for (int i = 0; i < 4; ++i) {
    FailOnce(fleet, 0, KeyOf("ledger-" + std::to_string(i)), kStart);
  }
  for (int i = 0; i < kBusy; ++i) {
    fleet[0].Begin(KeyOf("ledger-4"));
    fleet[0].Begin(KeyOf("ledger-5"));
  }
  choice_request repeat = Call("ledger");
  repeat.first = false;
  CHECK(fleet[0].Choose(repeat, kStart).basis == choice_basis::kRegular);
}

TEST_CASE("all instances shed: those are asked before gray ones") {
  selector_fleet fleet(1);
  fleet.SetInstances(Entries(6, "ledger"), kStart);
  for (int i = 0; i < 6; ++i) {
    const instance_key key = KeyOf("ledger-" + std::to_string(i));
    fleet[0].Begin(key);
    fleet[0].End(key,
                 i == 3 ? attempt_outcome::kShed : attempt_outcome::kFailed,
                 millis(2), kStart);
  }
  CHECK(fleet[0].Choose(Call("ledger"), kStart).instance.id == "ledger-3");
}

TEST_CASE("calm day: work stays in its zone while there is room") {
  instance_selector board("a", 1);
  std::vector<instance_entry> entries = {Entry("near", "ledger", "a"),
                                         Entry("far", "ledger", "b")};
  board.SetInstances(entries, kStart);
  for (int i = 0; i < 3; ++i) {
    const instance_choice choice = board.Choose(Call("ledger"), kStart);
    CHECK(choice.instance.id == "near");
    board.Begin(choice.key);
  }
  CHECK(board.Choose(Call("ledger"), kStart).instance.id == "far");
}

// Reports to other zones are paid for by the byte.
TEST_CASE("calm day: good answers of sound instances are not reported") {
  selector_fleet fleet(2);
  fleet.SetInstances(Entries(2, "ledger"), kStart);
  Succeed(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.empty());
  FailOnce(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.size() == 1);
  Succeed(fleet, 0, KeyOf("ledger-0"), kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.size() == 2);
}

TEST_CASE("no instance: refused at once") {
  selector_fleet fleet(1);
  CHECK(fleet[0].Choose(Call("ledger"), kStart).basis ==
        choice_basis::kNoInstance);
}

}  // namespace
}  // namespace peridotarch
