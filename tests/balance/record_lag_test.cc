#include "balance/record_lag.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

TEST_CASE("a node is behind from the first announcement of what it lacks") {
  record_lag lag;
  CHECK_FALSE(lag.BehindSince());
  lag.NoteAnnounced(4, millis(100));
  lag.NoteAnnounced(4, millis(200));
  lag.NoteAnnounced(6, millis(300));
  CHECK(lag.BehindSince() == millis(100));
  CHECK(lag.BehindFor(millis(350)) == millis(250));
  lag.NoteKnown(5);
  CHECK(lag.BehindSince() == millis(300));
  lag.NoteKnown(6);
  CHECK_FALSE(lag.BehindSince());
  CHECK(lag.BehindFor(millis(900)) == millis(0));
}

TEST_CASE("what a node knows already does not make it late") {
  record_lag lag;
  lag.NoteKnown(5);
  lag.NoteAnnounced(5, millis(0));
  lag.NoteAnnounced(3, millis(0));
  CHECK_FALSE(lag.BehindSince());
}

// In a storm of versions a node may have each one late, but not the same one.
TEST_CASE("a node that keeps up with a storm of versions is not overdue") {
  record_lag lag;
  for (int64_t version = 1; version <= 100; ++version) {
    const millis now(version * 60);
    lag.NoteAnnounced(static_cast<uint64_t>(version), now);
    if (version > 5) {
      lag.NoteKnown(static_cast<uint64_t>(version - 5));
    }
    CHECK_FALSE(lag.IsOverdue(now));
  }
}

// A node that got no answer from its peers asked them for ever (issue 28).
TEST_CASE("a node that its peers do not help is overdue within a second") {
  record_lag lag;
  for (int64_t version = 1; version <= 100; ++version) {
    lag.NoteAnnounced(static_cast<uint64_t>(version), millis(version * 60));
  }
  CHECK_FALSE(lag.IsOverdue(millis(60)));
  CHECK(lag.IsOverdue(millis(760)));
}

// A report that names a record which nobody wrote must not keep a node at the
// store for ever.
TEST_CASE("what the store does not hold is no longer missing") {
  record_lag lag;
  lag.NoteAnnounced(1'000'000, millis(100));
  lag.NoteStoreRead(millis(700));
  CHECK_FALSE(lag.BehindSince());
  lag.NoteAnnounced(1'000'000, millis(750));
  CHECK_FALSE(lag.BehindSince());
  lag.NoteAnnounced(1'000'001, millis(800));
  lag.NoteStoreRead(millis(700));  // began before the announcement
  CHECK(lag.BehindSince() == millis(800));
}

}  // namespace
}  // namespace peridotarch
