#include "config/replica.h"

#include <catch2/catch.hpp>
#include <functional>
#include <iostream>

#include "tests/config/replica_fixture.h"

namespace peridotarch {
namespace {

TEST_CASE("a published revision is in force on all nodes within 3 s") {
  fleet f(5, 1);
  PublishFirst(f);
  const millis begin = f.now;
  const size_t op = f.Publish(TestRules(kLines, 3, "x"), 1);
  REQUIRE(f.Converge(kLimit));
  CHECK(f.results[op]->outcome == publish_outcome::kAccepted);
  for (const auto& at : f.in_force_at) {
    CHECK(*at - begin <= kInForceWithin);
  }
  CHECK(f.InForce(4).snapshot->text == TestRules(kLines, 3, "x"));
}

TEST_CASE("of two racing operators one is accepted, one gets both diffs") {
  fleet f(5, 2);
  PublishFirst(f);
  const size_t a = f.Publish(TestRules(kLines, 3, "a"), 1);
  const size_t b = f.Publish(TestRules(kLines, 3, "b"), 1);
  REQUIRE(f.Converge(kLimit));
  const bool a_won = f.results[a]->outcome == publish_outcome::kAccepted;
  const publish_result& lost = *f.results[a_won ? b : a];
  CHECK(f.results[a_won ? a : b]->outcome == publish_outcome::kAccepted);
  CHECK(lost.outcome == publish_outcome::kConflict);
  CHECK(lost.mine.size() == 2);
  CHECK(lost.theirs.size() == 2);
  CHECK_FALSE(lost.mergeable);
  CHECK(f.InForce(0).id.number == 2);
}

TEST_CASE("a conflict without overlapping lines is rebased on request") {
  for (const bool rebase : {false, true}) {
    fleet f(5, 3);
    PublishFirst(f);
    f.Publish(TestRules(kLines, 0, "first") + "# tail\n", 1, rebase);
    std::string other = TestRules(kLines, 0, "changed");
    f.Publish(other, 1, rebase);
    REQUIRE(f.Converge(kLimit));
    const auto& lost = f.results[1]->outcome == publish_outcome::kAccepted &&
                               !f.results[1]->rebased
                           ? *f.results[2]
                           : *f.results[1];
    if (rebase) {
      REQUIRE(f.results[2]->outcome == publish_outcome::kAccepted);
      CHECK(f.InForce(0).id.number == 3);
      CHECK(f.InForce(0).snapshot->text == other + "# tail\n");
    } else {
      CHECK(lost.outcome == publish_outcome::kConflict);
      CHECK(lost.mergeable);
    }
  }
}

TEST_CASE("an append whose answer is lost takes effect once") {
  fleet f(5, 4);
  PublishFirst(f);
  f.lose_answers = true;
  const size_t op = f.Publish(TestRules(kLines, 3, "x"), 1);
  REQUIRE(f.Converge(kLimit));
  CHECK(f.results[op]->outcome == publish_outcome::kAccepted);
  CHECK(f.InForce(0).id.number == 2);
  CHECK(f.log.size() == 2);
}

TEST_CASE("a publish needs a base that the log has reached") {
  fleet f(5, 5);
  PublishFirst(f);
  const size_t unnamed = f.Publish(TestRules(kLines, 1, "x"), std::nullopt);
  const size_t same = f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  const size_t ahead = f.Publish(TestRules(kLines, 1, "y"), 9);
  REQUIRE(f.Converge(kLimit + kLimit));
  CHECK(f.results[unnamed]->outcome == publish_outcome::kNeedBase);
  CHECK(f.results[same]->outcome == publish_outcome::kUnchanged);
  CHECK(f.results[ahead]->outcome == publish_outcome::kLogBehind);
  CHECK(f.log.size() == 1);
}

TEST_CASE("a node starting while the log is unreachable fetches from peers") {
  fleet f(5, 6);
  PublishFirst(f);
  f.log.is_unreachable = true;
  const millis begin = f.now;
  f.Crash(2);
  f.Run(kInForceWithin);
  CHECK(f.InForce(2).id == f.InForce(0).id);
  CHECK(*f.in_force_at[2] - begin <= kInForceWithin);
  f.log.is_unreachable = false;
  f.Publish(TestRules(kLines, 3, "x"), 1);
  CHECK(f.Converge(kLimit));
  CHECK(f.InForce(2).id.number == 2);
}

TEST_CASE("a node starting with a stale log replica does not go back") {
  fleet f(5, 7);
  PublishFirst(f);
  f.Publish(TestRules(kLines, 3, "x"), 1);
  REQUIRE(f.Converge(kLimit));
  f.log.stale_by = 1;
  f.Crash(2);
  f.Run(kInForceWithin);
  CHECK(f.InForce(2).id.number == 2);
}

TEST_CASE(
    "after the log loses all records no node goes back, and it is repaired") {
  fleet f(5, 8);
  PublishFirst(f);
  for (uint64_t base = 1; base < 5; ++base) {
    f.Publish(TestRules(kLines, static_cast<int>(base), "x"), base);
    REQUIRE(f.Converge(kLimit));
  }
  const revision_id before = f.InForce(0).id;
  f.log.ResetToEmpty();
  REQUIRE(f.Converge(kLimit));
  CHECK(f.InForce(0).id == before);
  CHECK(f.LogHead().id == before);
  const size_t op = f.Publish(TestRules(kLines, 9, "y"), before.number);
  REQUIRE(f.Converge(kLimit));
  CHECK(f.results[op]->outcome == publish_outcome::kAccepted);
}

TEST_CASE("a fork after a log reset is joined by a new revision") {
  fleet f(5, 9);
  PublishFirst(f);
  // Only node 0 applies revision 2 before the log loses it.
  for (size_t i = 1; i < f.size(); ++i) {
    f.CutLog(i, true);
    f.CutLink(0, i, true);
    f.CutLink(i, 0, true);
  }
  f.Publish(TestRules(kLines, 3, "lost"), 1);
  f.Run(kInForceWithin);
  REQUIRE(f.InForce(0).id.number == 2);
  f.log.DropLatest(1);
  f.CutLog(0, true);
  for (size_t i = 1; i < f.size(); ++i) {
    f.CutLog(i, false);
  }
  f.Publish(TestRules(kLines, 4, "kept"), 1);
  f.Run(kInForceWithin);
  REQUIRE(f.InForce(1).id.number == 2);
  REQUIRE(f.InForce(1).id != f.InForce(0).id);
  f.HealNetwork();
  REQUIRE(f.Converge(kLimit));
  CHECK(f.InForce(0).id.number == 3);
  CHECK(f.InForce(0).snapshot->text == TestRules(kLines, 4, "kept"));
}

TEST_CASE(
    "snapshots are renewed as the log drops records; a node starts from them") {
  fleet f(3, 10);
  PublishFirst(f);
  uint64_t base = 1;
  for (int round = 0; round < 200; ++round) {
    f.Publish(TestRules(kLines, round % kLines, std::to_string(round)), base);
    f.Run(millis(1000));
    base = f.LogHead().id.number;
    f.log.Trim(100);
  }
  REQUIRE(f.Converge(kLimit));
  CHECK(base == 201);
  fleet alone(1, 11);
  alone.log = f.log;
  REQUIRE(alone.Converge(kLimit));
  CHECK(alone.InForce(0).id == f.InForce(0).id);
}

TEST_CASE("an isolated node stops serving after the time that the file sets") {
  fleet f(2, 12);
  PublishFirst(f);
  f.Publish(TestRules(kLines, 0, "first") + "isolation serve 20s # ops\n", 1);
  REQUIRE(f.Converge(kLimit));
  f.log.is_unreachable = true;
  f.Run(millis(25'000));
  CHECK_FALSE(f.Node(1).isolated());  // It still hears from its peer.
  f.CutLink(0, 1, true);
  f.Run(millis(19'000));
  CHECK_FALSE(f.Node(1).isolated());
  f.Run(millis(3'000));
  CHECK(f.Node(1).isolated());
  f.HealNetwork();
  f.Run(millis(3'000));
  CHECK_FALSE(f.Node(1).isolated());
}

/// How many restarts succeeded, over many seeds.
struct restart_counts {
  int in_time = 0;     ///< Starts with the log unreachable.
  int not_older = 0;   ///< Starts with a stale log replica.
  int after_loss = 0;  ///< Starts after the log lost all records.
};

restart_counts CountRestarts(bool use_peers, int seeds) {
  restart_counts counts;
  const auto restart = [&](int seed, const std::function<void(fleet&)>& fault) {
    fleet f(4, static_cast<uint64_t>(seed), use_peers);
    PublishFirst(f);
    f.Publish(TestRules(kLines, 3, "x"), 1);
    REQUIRE(f.Converge(kLimit));
    fault(f);
    f.Crash(2);
    bool older = false;
    for (const millis end = f.now + kInForceWithin; f.now < end;) {
      f.Run(fleet::kTick);
      older = older || f.InForce(2).id.number == 1;
    }
    return !older && f.InForce(2).id.number == 2 ? 1 : 0;
  };
  for (int seed = 1; seed <= seeds; ++seed) {
    counts.in_time +=
        restart(seed, [](fleet& f) { f.log.is_unreachable = true; });
    counts.not_older += restart(seed, [](fleet& f) { f.log.stale_by = 1; });
    counts.after_loss += restart(seed, [](fleet& f) { f.log.ResetToEmpty(); });
  }
  return counts;
}

TEST_CASE("restarts with peers succeed where some from the log alone fail") {
  constexpr int kSeeds = 200;
  const restart_counts with = CountRestarts(true, kSeeds);
  const restart_counts without = CountRestarts(false, kSeeds);
  for (const auto& [name, c] :
       {std::pair("with peers", with), std::pair("log alone", without)}) {
    std::cout << "restarts with the newest revision alone within 3 s, " << name
              << ": log away " << c.in_time << ", older replica " << c.not_older
              << ", log reset " << c.after_loss << " of " << kSeeds << '\n';
  }
  CHECK(with.in_time == kSeeds);
  CHECK(with.not_older == kSeeds);
  CHECK(with.after_loss == kSeeds);
  CHECK(without.in_time < kSeeds);
}

}  // namespace
}  // namespace peridotarch
