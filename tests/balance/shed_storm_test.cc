// Overload of a large fleet: most attempts end with a refusal. Each one used to
// be reported to all nodes, which cost more than the requests.
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "balance/load_change.h"
#include "balance/report_batch.h"
#include "balance/report_pace.h"
#include "core/error.h"
#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr int kNodes = 300;
constexpr int kZones = 5;
constexpr millis kStart(10'000);

TEST_CASE("shed storm: refusals concern the users of the instance alone") {
  instance_selector selector("a", 1);
  selector.SetInstances(std::vector{MakeEntry("i-1", "s")}, kStart);
  const instance_key key = KeyOf("i-1");
  int to_fleet = 0;
  int to_users = 0;
  for (int i = 0; i < 100; ++i) {
    const millis now = kStart + millis(10 * i);
    selector.Begin(key);
    const load_change change =
        selector.End(key, attempt_outcome::kShed, millis(1), now);
    to_fleet += change == load_change::kHealthEvidence ? 1 : 0;
    to_users += change == load_change::kInstanceSheds ? 1 : 0;
  }
  CHECK(to_fleet == 0);
  CHECK(to_users >= 1);
}

TEST_CASE("shed storm: a failure and a recovery are told to the whole fleet") {
  instance_selector selector("a", 1);
  selector.SetInstances(std::vector{MakeEntry("i-1", "s")}, kStart);
  const instance_key key = KeyOf("i-1");
  const auto end = [&](attempt_outcome outcome, millis now) {
    selector.Begin(key);
    return selector.End(key, outcome, millis(1), now);
  };
  CHECK(end(attempt_outcome::kOk, kStart) == load_change::kSlotFreed);
  CHECK(end(attempt_outcome::kFailed, kStart) == load_change::kHealthEvidence);
  // Requests that were in flight when it failed tell nothing new.
  CHECK(end(attempt_outcome::kFailed, kStart + millis(5)) ==
        load_change::kSlotFreed);
  // A failed trial does, and so do the answers that clear the instance.
  const millis after_hold = kStart + millis(1'500);
  CHECK(end(attempt_outcome::kFailed, after_hold) ==
        load_change::kHealthEvidence);
  CHECK(end(attempt_outcome::kOk, after_hold + millis(2'000)) ==
        load_change::kHealthEvidence);
  CHECK(end(attempt_outcome::kOk, after_hold + millis(2'100)) ==
        load_change::kHealthEvidence);
  CHECK(end(attempt_outcome::kOk, after_hold + millis(2'200)) ==
        load_change::kSlotFreed);
}

// All nodes of a zone have something to tell all the time.
TEST_CASE("shed storm: what a node receives does not grow with its zone") {
  constexpr int kMaxReceivedPerSecond = 200;
  for (const int nodes : {12, kNodes / kZones, 200}) {
    const millis interval = ZoneReportInterval(static_cast<size_t>(nodes));
    report_pace pace;
    int sent = 0;
    for (millis now = kStart; now < kStart + millis(1'000); now += millis(1)) {
      if (pace.DelayAt(now, interval) == millis(0)) {
        pace.NoteSent(now);
        ++sent;
      }
    }
    CHECK(sent >= 1);
    CHECK((sent - 1) * nodes <= kMaxReceivedPerSecond);
  }
  CHECK(report_pace().DelayAt(kStart, millis(500)) == millis(0));
}

TEST_CASE("shed storm: relayed reports travel together") {
  load_report report;
  report.incarnation = 1'700'000'000;
  std::vector<std::string> reports;
  for (uint32_t i = 0; i < 40; ++i) {
    report.number = i;
    reports.push_back(Encode(report, "key"));
  }
  const std::vector<std::string> batches = JoinReports(reports);
  CHECK(batches.size() <= 3);
  std::vector<std::string> arrived;
  for (const std::string& batch : batches) {
    for (const std::string_view one : SplitReports(batch)) {
      arrived.emplace_back(one);
    }
  }
  CHECK(arrived == reports);
  const std::vector<std::string> single(1, reports.front());
  CHECK(JoinReports(single) == single);
  CHECK(JoinReports({}).empty());
  for (size_t cut = 1; cut + 4 < batches[0].size(); ++cut) {
    const std::string_view part =
        std::string_view(batches[0]).substr(0, batches[0].size() - cut);
    bool is_refused = false;
    try {
      for (const std::string_view one : SplitReports(part)) {
        DecodeLoadReport(one, "key");
      }
    } catch (const codec_error&) {
      is_refused = true;
    }
    // A batch may end between two reports; those before it still count.
    CHECK((is_refused || cut % (reports[0].size() + 2) == 0));
  }
}

// A node that hears of a failure late must not suspect an instance that it has
// seen recover meanwhile.
TEST_CASE("shed storm: late evidence counts from when the attempt ended") {
  selector_fleet fleet(2);
  fleet.SetInstances({MakeEntry("i-1", "s"), MakeEntry("i-2", "s")}, kStart);
  const instance_key key = KeyOf("i-1");
  fleet[0].Begin(key);
  fleet[0].End(key, attempt_outcome::kFailed, millis(1), kStart);
  fleet[1].Begin(key);
  fleet[1].End(key, attempt_outcome::kOk, millis(1), kStart + millis(200));
  fleet.Report(0, kStart + millis(300));
  CHECK(fleet[1].suspects() == 0);

  const instance_key other = KeyOf("i-2");
  fleet[0].Begin(other);
  fleet[0].End(other, attempt_outcome::kFailed, millis(1),
               kStart + millis(1'000));
  fleet.Report(0, kStart + millis(1'400));
  REQUIRE(fleet[1].suspects() == 1);
  // The hold of a second began with the failure, not with the report.
  const std::vector<instance_key> tried = {key};
  choice_request request = MakeRequest("s", true);
  request.tried = tried;
  CHECK(fleet[1].Choose(request, kStart + millis(2'100)).basis ==
        choice_basis::kTrial);
}

TEST_CASE("shed storm: late evidence does not count as a failed trial") {
  instance_health health;
  health.RecordOutcome(attempt_outcome::kFailed, kStart);
  health.RecordOutcome(attempt_outcome::kOk, kStart + millis(1'200));
  health.RecordOutcome(attempt_outcome::kFailed, kStart + millis(1'100));
  CHECK_FALSE(health.has_failed_trial());
  CHECK(health.TrialOverdue(kStart + millis(1'300)) == millis(300));
}

}  // namespace
}  // namespace peridotarch
