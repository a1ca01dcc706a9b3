// Logs that have lost all snapshots from which a reader could start.
#include <catch2/catch.hpp>
#include <string>

#include "config/log_follower.h"
#include "config/record.h"
#include "tests/config/replica_fixture.h"

namespace peridotarch {
namespace {

// Each record of the operators names a base that the log no longer holds, and
// each was taken as a sign of a reset, so the scan never ended.
TEST_CASE("a log that drops every snapshot while operators race is repaired") {
  SetBreachesFatal(true);
  fleet f(4, 0);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  f.Run(millis(4'200));
  REQUIRE(f.InForce(0).id.number == 1);
  f.Publish(TestRules(kLines, 3, "a"), 1);
  f.Publish(TestRules(kLines, 3, "b"), 1);
  f.Run(millis(100));
  f.log.is_unreachable = true;
  f.Run(millis(100));
  f.log.Trim(1);
  f.Run(millis(1'000));
  f.HealNetwork();
  REQUIRE(f.Converge(kLimit));
  CHECK(f.InForce(0).id.number >= 1);
}

// Nodes that started from a peer take over its last snapshot. If that snapshot
// names a position that the log has lost, no later reader can start from it.
TEST_CASE("a snapshot that no new reader can start from is replaced") {
  SetBreachesFatal(true);
  for (uint64_t seed = 0; seed < 60; ++seed) {
    CAPTURE(seed);
    fleet f(4, seed);
    f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
    f.Run(millis(200));
    f.log.Trim(seed % 2);
    f.Run(millis(700));
    f.log.is_unreachable = true;
    f.Run(millis(1'300));
    f.HealNetwork();
    f.Run(millis(1'200));
    f.Publish(TestRules(kLines, 1, "second"), f.LogHead().id.number, true);
    f.log.DropLatest(1 + seed % 3);
    CHECK(f.Converge(kLimit));
  }
}

// A peer may give the position of a snapshot that it applied before the log was
// reset. The node that asked has just found that no reader can start from it.
TEST_CASE("a snapshot from before a log reset is replaced") {
  SetBreachesFatal(true);
  fleet f(4, 0);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  f.Run(millis(200));
  f.log.Trim(0);
  f.Run(millis(900));
  f.log.is_unreachable = true;
  f.Run(millis(1'100));
  f.HealNetwork();
  f.Run(millis(1'000));
  f.Publish(TestRules(kLines, 1, "second"), f.LogHead().id.number);
  f.Run(millis(200));
  f.log.DropLatest(1);
  CHECK(f.Converge(kLimit * 3));
}

// An operator whose base the log has dropped appends its record again and
// again. Each of these records once caused a new scan of the log.
TEST_CASE("an operator's retries do not delay the repair of a log") {
  SetBreachesFatal(true);
  fleet f(4, 0);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  f.Run(millis(200));
  f.log.stale_by = 2;
  f.Run(millis(4'000));
  f.Publish(TestRules(kLines, 1, "second"), f.LogHead().id.number);
  f.Run(millis(200));
  f.log.Trim(1);
  f.Publish(TestRules(kLines, 1, "third"), f.LogHead().id.number);
  f.Run(millis(1'000));
  f.HealNetwork();
  f.Run(kLimit);
  const revision_id head = f.LogHead().id;
  for (size_t node = 0; node < 4; ++node) {
    CHECK(f.InForce(node).id == head);
  }
}

// A node that was cut off from the log gave up the search for a snapshot with
// the offsets from before a reset, and left out the first records of the new
// log.
TEST_CASE(
    "a reset while a node finds no snapshot: it reads the new log whole") {
  const auto publish = [](fleet& f, const std::string& tag, uint64_t base) {
    f.Publish(TestRules(kLines, 3, tag), base);
    REQUIRE(f.Converge(kLimit));
  };
  fleet before(1, 13);
  PublishFirst(before);
  publish(before, "old", 1);
  before.log.Trim(1);
  fleet after(1, 14);
  publish(after, "new", 0);
  publish(after, "newer", 1);
  REQUIRE(after.log.next() > before.log.next() - 1);

  log_follower reader(kTestKey);
  for (int i = 0; i < 3 && !reader.found_no_snapshot(); ++i) {
    reader.OnPage(before.log.Read(reader.next_offset()), before.now);
  }
  REQUIRE(reader.found_no_snapshot());
  reader.StartAtOldest();
  for (int i = 0; i < 3; ++i) {
    reader.OnPage(after.log.Read(reader.next_offset()), before.now);
  }
  CHECK(reader.caught_up());
  CHECK(reader.head().id == after.LogHead().id);
}

// The log holds only snapshots of an older revision, which repair a reset, and
// the record of an operator who retries. Each retry caused a new search for a
// snapshot to start from.
TEST_CASE("a log without a base: an older revision does not bring it back") {
  fleet f(1, 15);
  PublishFirst(f);
  const revision older = f.InForce(0);
  for (uint64_t base = 1; base < 3; ++base) {
    f.Publish(TestRules(kLines, 3, std::to_string(base)), base);
    REQUIRE(f.Converge(kLimit));
  }
  const log_page published = f.log.Read(f.log.next() - 1);
  const std::string by_operator = published.records.back().data;
  fake_log left;
  left.Append("lost", f.now);
  left.Trim(0);
  left.Append(EncodeRecord(ToSnapshotRecord(older, false, {}), kTestKey),
              f.now);
  left.Append(by_operator, f.now);

  log_follower reader(kTestKey);
  reader.OnPage(left.Read(reader.next_offset()), f.now);
  reader.OnPage(left.Read(reader.next_offset()), f.now);
  REQUIRE(reader.found_no_snapshot());
  reader.StartAtOldest();
  for (int retry = 0; retry < 3; ++retry) {
    reader.OnPage(left.Read(reader.next_offset()), f.now);
    CHECK(reader.caught_up());
    CHECK(reader.head().id == older.id);
    left.Append(by_operator, f.now);
  }
}

}  // namespace
}  // namespace peridotarch
