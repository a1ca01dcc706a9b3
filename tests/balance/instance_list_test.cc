#include "balance/instance_list.h"

#include <catch2/catch.hpp>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(100'000);

TEST_CASE("an instance whose entry is removed is gone at once") {
  instance_list list;
  list.Put(Entry("one", "s"));
  CHECK(list.ApplyPendingRemovals(kStart));
  CHECK_FALSE(list.ApplyPendingRemovals(kStart));
  list.Remove("one", kStart);
  CHECK(list.ApplyPendingRemovals(kStart));
  CHECK(list.size() == 0);
}

TEST_CASE("store away: entries that lapsed meanwhile stay for a moment") {
  instance_list list;
  list.Replace({Entry("one", "s"), Entry("two", "s")}, kStart);
  list.NoteStoreUnreachable();
  list.Replace({}, kStart);
  list.NoteStoreRead();
  CHECK(list.HasPendingRemovals());
  list.ApplyPendingRemovals(kStart);
  CHECK(list.size() == 2);
  instance_entry back = Entry("one", "s");
  back.sequence = 9;
  list.Put(back);
  list.ApplyPendingRemovals(kStart + millis(1'699));
  CHECK(list.size() == 2);
  CHECK(list.ApplyPendingRemovals(kStart + millis(1'700)));
  CHECK(list.size() == 1);
  CHECK_FALSE(list.HasPendingRemovals());
}

// Found on trouble-1 of both sites: an instance that left after the store was
// back got requests for two more seconds.
TEST_CASE(
    "store away for this node only: a removal after its return holds at "
    "once") {
  instance_list list;
  list.Put(Entry("one", "s"));
  list.NoteStoreUnreachable();
  list.NoteStoreRead();
  list.Remove("one", kStart);
  list.ApplyPendingRemovals(kStart);
  CHECK(list.size() == 0);
}

TEST_CASE(
    "an instance that was draining when the store went away is not "
    "kept") {
  instance_list list;
  instance_entry leaving = Entry("one", "s");
  leaving.draining = true;
  list.Put(leaving);
  list.NoteStoreUnreachable();
  list.Remove("one", kStart);
  list.ApplyPendingRemovals(kStart);
  CHECK(list.size() == 0);
}

TEST_CASE("older words do not undo newer ones") {
  instance_list list;
  instance_entry entry = Entry("one", "s");
  entry.sequence = 5;
  entry.draining = true;
  list.Put(entry);
  SECTION("an older word of the same start") {
    entry.sequence = 4;
    entry.draining = false;
    list.Put(entry);
    CHECK(list.Entries()[0].draining);
  }
  SECTION("a later start counts anew") {
    entry.sequence = 1;
    entry.started_at = 2;
    entry.draining = false;
    list.Put(entry);
    CHECK_FALSE(list.Entries()[0].draining);
  }
}

}  // namespace
}  // namespace peridotarch
