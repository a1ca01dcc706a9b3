#include <catch2/catch.hpp>

#include "balance/instance_selector.h"
#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);
constexpr int kRequestsBefore = 100;

/// Lets the selector see requests, every `retryable_each`th of them retryable.
void SendRequests(instance_selector& selector, int retryable_each) {
  for (int i = 0; i < kRequestsBefore; ++i) {
    selector.Choose(MakeRequest("ledger", i % retryable_each == 0), kStart);
  }
}

// Large fleet: the nodes of other zones hear of a trial when it has ended. When
// they waited for less than a trial takes, a quarter of all attempts were
// trials, most of them in another zone and at an instance under trial.
TEST_CASE("large fleet: a trial under way is not repeated by other zones") {
  constexpr int kFarNodes = 200;
  constexpr millis kTrialTime(440);
  constexpr millis kReportTime(400);
  std::vector<instance_entry> entries = MakeEntries(4, "ledger");
  for (int i = 0; i < 4; ++i) {
    entries.push_back(MakeEntry("far-" + std::to_string(i), "ledger", "b"));
  }
  const millis due = kStart + millis(1'000);
  int trials = 0;
  for (int node = 0; node < kFarNodes; ++node) {
    instance_selector far("b", static_cast<uint64_t>(node + 1));
    far.SetInstances(entries, kStart);
    load_report report;
    report.incarnation = 1;
    report.number = 1;
    report.outcomes = {
        {1, KeyOf("ledger-0"), attempt_outcome::kFailed, millis(0)}};
    far.Apply("near", report, kStart);
    // One retryable request a second at each node.
    const millis now = due + millis(node * 1'000 / kFarNodes);
    if (now < due + kTrialTime + kReportTime) {
      trials += far.Choose(MakeRequest("ledger", true), now).basis ==
                        choice_basis::kTrial
                    ? 1
                    : 0;
    }
  }
  CHECK(trials == 0);
}

// On the large deployment a third of the requests lost to gray instances were
// trials of requests that could not be retried, although a fifth of the
// service's requests could.
TEST_CASE("mixed load: trials are left to requests that can be retried") {
  instance_selector selector("a", 1);
  selector.SetInstances(MakeEntries(6, "ledger"), kStart);
  const instance_key gray = KeyOf("ledger-0");
  const auto basis_of = [&](bool is_retryable, millis after) {
    return selector.Choose(MakeRequest("ledger", is_retryable), kStart + after)
        .basis;
  };
  SECTION("every fifth can be retried") {
    SendRequests(selector, 5);
    selector.Begin(gray);
    selector.End(gray, attempt_outcome::kFailed, millis(5), kStart);
    CHECK(basis_of(false, millis(1'900)) == choice_basis::kRegular);
    CHECK(basis_of(true, millis(1'100)) == choice_basis::kTrial);
    CHECK(basis_of(false, millis(3'400)) == choice_basis::kTrial);
  }
  SECTION("none can be retried, so the instance is not left out for longer") {
    SendRequests(selector, kRequestsBefore + 1);
    selector.Begin(gray);
    selector.End(gray, attempt_outcome::kFailed, millis(5), kStart);
    CHECK(basis_of(false, millis(1'900)) == choice_basis::kTrial);
  }
}

// Half of the instances were gray, and more trials were due than retryable
// requests came. Those that came last in the list got none for four seconds,
// after they had recovered too.
TEST_CASE("many gray instances: the suspect due for the longest has a trial") {
  constexpr int kInstances = 12;
  for (int oldest = 0; oldest < kInstances; ++oldest) {
    instance_selector selector("a", 1);
    selector.SetInstances(MakeEntries(kInstances, "ledger"), kStart);
    for (int i = 0; i < kInstances; ++i) {
      const instance_key key = KeyOf("ledger-" + std::to_string(i));
      const millis failed_at = kStart + millis(i == oldest ? 0 : 10);
      selector.Begin(key);
      selector.End(key, attempt_outcome::kFailed, millis(5), failed_at);
    }
    const instance_choice choice =
        selector.Choose(MakeRequest("ledger", true), kStart + millis(1'500));
    CHECK(choice.basis == choice_basis::kTrial);
    CHECK(choice.key == KeyOf("ledger-" + std::to_string(oldest)));
  }
}

// An instance without requests may have turned gray since its last answer.
TEST_CASE("mixed load: unused instances are left to retryable requests") {
  constexpr int kInstances = 6;
  instance_selector selector("a", 1);
  selector.SetInstances(MakeEntries(kInstances, "ledger"), kStart);
  SendRequests(selector, 5);
  const millis now = kStart + millis(2'000);
  // One instance was used lately, all others were not.
  const instance_key used = KeyOf("ledger-0");
  selector.Begin(used);
  selector.End(used, attempt_outcome::kOk, millis(5), now);
  selector.NoteIdleConnections(used, 1, now);
  choice_request request = MakeRequest("ledger");
  request.max_idle_time = millis(3'000);
  int at_used = 0;
  constexpr int kDraws = 20;
  for (int i = 0; i < kDraws; ++i) {
    at_used += selector.Choose(request, now).key == used ? 1 : 0;
  }
  CHECK(at_used == kDraws);
  request.is_retryable = true;
  CHECK(selector.Choose(request, now).basis == choice_basis::kRegular);
}

}  // namespace
}  // namespace peridotarch
