#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "balance/retry_delay.h"
#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);
constexpr answer_notice kLeaving{true, millis(0), false};

answer_notice Rest(millis span) { return {false, span, false}; }

/// Sends a request where the selector chooses and ends it at once.
choice_basis SendOne(instance_selector& selector, attempt_outcome outcome,
                     millis now, bool is_retryable = false) {
  const instance_choice choice =
      selector.Choose(MakeRequest("s", is_retryable), now);
  if (!choice.instance.id.empty()) {
    selector.Begin(choice.key);
    selector.End(choice.key, outcome, millis(5), now);
  }
  return choice.basis;
}

// A service with one instance: its last resort, trials and retries would all
// go there.
TEST_CASE("leaving: no request of any kind is chosen for the instance") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  selector.SetInstances(entries, kStart);
  const bool was_suspect = GENERATE(true, false);
  if (was_suspect) {
    SendOne(selector, attempt_outcome::kFailed, kStart);
  }
  selector.NoteAnswer(entries[0], kLeaving, kStart);
  selector.NoteAnswer(entries[0], kLeaving, kStart);
  CHECK(selector.TakeNoticeChanges().size() == 1);
  for (millis now = kStart; now < kStart + millis(600'000);
       now += millis(700)) {
    const bool is_retryable = now.count() % 2 == 0;
    REQUIRE(selector.Choose(MakeRequest("s", is_retryable), now).basis ==
            choice_basis::kNoInstance);
    REQUIRE_FALSE(selector.MaySend(entries[0], now));
  }
  CHECK(selector.RestLeft("s", kStart) == millis(0));
}

// The delay was 0.4 to 1.2 s, over a third of the time of most callers.
TEST_CASE("leaving: a refusal is within a third of the time left") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], kLeaving, kStart);
  choice_request request = MakeRequest("s", false);
  request.time_left = millis(GENERATE(3, 900, 60'000));
  const millis delay = selector.Choose(request, kStart).retry_after;
  CHECK(delay >= millis(1));
  CHECK((delay * 3 / 2 <= request.time_left / 3 || delay == millis(1)));
  CHECK(delay <= millis(800));
}

TEST_CASE("leaving: an answer of an earlier start says nothing of this one") {
  instance_selector selector("a", 1);
  instance_entry entry = MakeEntry("i-1", "s");
  entry.started_at = 7;
  const std::vector<instance_entry> entries = {entry};
  selector.SetInstances(entries, kStart);
  instance_entry earlier = entry;
  earlier.started_at = 6;
  selector.NoteAnswer(earlier, kLeaving, kStart);
  CHECK(selector.TakeNoticeChanges().empty());
  CHECK(selector.MaySend(entry, kStart));
}

TEST_CASE("leaving: an instance that is listed again after hours is free") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  const std::vector<instance_entry> none;
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], kLeaving, kStart);
  selector.SetInstances(none, kStart + millis(1'800'000));
  selector.SetInstances(entries, kStart + millis(1'900'000));
  CHECK_FALSE(selector.MaySend(entries[0], kStart + millis(1'900'000)));
  selector.SetInstances(none, kStart + millis(1'910'000));
  selector.SetInstances(none, kStart + millis(5'600'000));
  CHECK(selector.MaySend(entries[0], kStart + millis(5'600'000)));
}

TEST_CASE("resting: nothing goes there until the end, trials included") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  selector.SetInstances(entries, kStart);
  SendOne(selector, attempt_outcome::kShed, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(4'000)), kStart);
  for (millis now = kStart; now < kStart + millis(4'000); now += millis(50)) {
    const instance_choice choice = selector.Choose(MakeRequest("s", true), now);
    REQUIRE(choice.basis == choice_basis::kOverload);
    REQUIRE(selector.RestLeft("s", now) >= kStart + millis(4'000) - now);
  }
  const millis after = kStart + millis(4'501);
  CHECK(selector.RestLeft("s", after) == millis(0));
  CHECK(selector.Choose(MakeRequest("s", true), after).basis ==
        choice_basis::kTrial);
}

TEST_CASE("resting: a shorter rest that is stated later does not end it") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(4'000)), kStart);
  selector.NoteAnswer(entries[0], Rest(millis(300)), kStart);
  CHECK_FALSE(selector.MaySend(entries[0], kStart + millis(3'900)));
}

TEST_CASE("resting: a new start ends it early, an old entry does not") {
  instance_selector selector("a", 1);
  std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(4'000)), kStart);
  const std::vector<instance_entry> none;
  selector.SetInstances(none, kStart);
  selector.SetInstances(entries, kStart);
  CHECK_FALSE(selector.MaySend(entries[0], kStart));
  ++entries[0].started_at;
  selector.SetInstances(entries, kStart);
  CHECK(SendOne(selector, attempt_outcome::kOk, kStart) ==
        choice_basis::kRegular);
}

TEST_CASE("resting: the earliest return counts, leaving instances do not") {
  instance_selector selector("a", 1);
  const std::vector<instance_entry> entries = MakeEntries(3, "s");
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(3'000)), kStart);
  selector.NoteAnswer(entries[1], kLeaving, kStart);
  CHECK(selector.RestLeft("s", kStart) == millis(0));
  selector.NoteAnswer(entries[2], Rest(millis(1'000)), kStart);
  CHECK(selector.RestLeft("s", kStart) >= millis(1'000));
  CHECK(selector.RestLeft("s", kStart) < millis(1'500));
  CHECK(selector.RestLeft("unknown", kStart) == millis(0));
}

// All requests that waited for the end of the rest came at once, and the
// instance shed most of them.
TEST_CASE("return: requests come one by one, as many as the instance takes") {
  instance_selector selector("a", 1);
  constexpr int kSlots = 8;
  const std::vector<instance_entry> entries = {
      MakeEntry("i-1", "s", "a", kSlots)};
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(1'000)), kStart);
  const millis now = kStart + millis(1'300);
  const instance_key key = KeyOf("i-1");
  const auto begin_all = [&] {
    int begun = 0;
    while (!selector.Choose(MakeRequest("s"), now).instance.id.empty()) {
      selector.Begin(key);
      ++begun;
    }
    return begun;
  };
  const auto end_all = [&](int count, attempt_outcome outcome) {
    for (int i = 0; i < count; ++i) {
      selector.End(key, outcome, millis(5), now);
    }
  };
  CHECK(begin_all() == 1);
  end_all(1, attempt_outcome::kOk);
  CHECK(begin_all() == 2);
  end_all(2, attempt_outcome::kOk);
  CHECK(begin_all() == 4);
  SECTION("it takes them all") {
    end_all(4, attempt_outcome::kOk);
    CHECK(begin_all() >= kSlots);
  }
  SECTION("it sheds one") {
    end_all(3, attempt_outcome::kOk);
    end_all(1, attempt_outcome::kShed);
    CHECK(begin_all() == 1);
  }
}

TEST_CASE("return: nodes that were turned away together come back apart") {
  std::set<int64_t> returns;
  for (uint64_t node = 1; node <= 20; ++node) {
    instance_selector selector("a", node);
    const std::vector<instance_entry> entries = {MakeEntry("i-1", "s")};
    selector.SetInstances(entries, kStart);
    selector.NoteAnswer(entries[0], Rest(millis(2'000)), kStart);
    returns.insert(selector.RestLeft("s", kStart).count());
  }
  CHECK(returns.size() > 10);
  CHECK(*returns.begin() >= 2'000);
  CHECK(*returns.rbegin() <= 2'500);
}

TEST_CASE("refusal: after the rest, spread, within a third of the time left") {
  const millis rest(1'000);
  CHECK(DelayAfterRest(rest, millis(6'000), 0) == rest);
  CHECK(DelayAfterRest(rest, millis(6'000), 0.5) == millis(1'500));
  CHECK(DelayAfterRest(rest, millis(4'500), 0.999) <= millis(1'500));
  // The rest is longer than callers wait.
  CHECK(DelayAfterRest(rest, millis(900), 0.999) >= rest);
  CHECK(DelayAfterRest(rest, millis(900), 0.999) <= rest + millis(50));
}

// Each node of a fleet sent a request of its own to a leaving instance before
// it knew.
TEST_CASE("leaving: the peers know before their next request") {
  selector_fleet fleet(3);
  std::vector<instance_entry> entries = MakeEntries(2, "s");
  entries[0].started_at = 1'796'471'423'177;
  fleet.SetInstances(entries, kStart);
  fleet[0].NoteAnswer(entries[0], kLeaving, kStart);
  fleet.Report(0, kStart);
  for (size_t node = 0; node < fleet.size(); ++node) {
    CHECK_FALSE(fleet[node].MaySend(entries[0], kStart));
    CHECK(fleet[node].MaySend(entries[1], kStart));
    CHECK(fleet[node].suspects() == 0);
    const std::vector<notice_change> changes = fleet[node].TakeNoticeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].told_by == (node == 0 ? "" : "node-0"));
  }
  // It is not passed on by those who were told.
  CHECK(fleet[1].MakeReport(kStart).outcomes.empty());
}

TEST_CASE("leaving: a report of another start says nothing of the known one") {
  selector_fleet fleet(2);
  std::vector<instance_entry> entries = MakeEntries(1, "s");
  fleet[0].SetInstances(entries, kStart);
  fleet[0].NoteAnswer(entries[0], kLeaving, kStart);
  entries[0].started_at = 8'000;
  fleet[1].SetInstances(entries, kStart);
  fleet.Report(0, kStart);
  CHECK(fleet[1].MaySend(entries[0], kStart));
}

TEST_CASE("resting: it is not reported to the peers") {
  selector_fleet fleet(2);
  const std::vector<instance_entry> entries = MakeEntries(1, "s");
  fleet.SetInstances(entries, kStart);
  fleet[0].NoteAnswer(entries[0], Rest(millis(4'000)), kStart);
  fleet.Report(0, kStart);
  CHECK(fleet[0].MakeReport(kStart).outcomes.empty());
  CHECK(fleet[1].MaySend(entries[0], kStart));
}

TEST_CASE("each notice is recorded when it begins and when it ends") {
  instance_selector selector("a", 1);
  std::vector<instance_entry> entries = MakeEntries(1, "s");
  selector.SetInstances(entries, kStart);
  selector.NoteAnswer(entries[0], Rest(millis(1'000)), kStart);
  selector.PruneNotices(kStart + millis(900));
  std::vector<notice_change> changes = selector.TakeNoticeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].kind == notice_kind::kResting);
  CHECK(changes[0].rest >= millis(1'000));
  CHECK_FALSE(changes[0].ended);
  const millis later = kStart + millis(1'300);
  selector.PruneNotices(later);
  selector.NoteAnswer(entries[0], kLeaving, later);
  ++entries[0].started_at;
  selector.SetInstances(entries, later);
  changes = selector.TakeNoticeChanges();
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].ended == notice_end::kElapsed);
  CHECK(changes[1].kind == notice_kind::kLeaving);
  CHECK(changes[2].ended == notice_end::kNewStart);
  CHECK(changes[2].instance.started_at + 1 == entries[0].started_at);
}

}  // namespace
}  // namespace peridotarch
