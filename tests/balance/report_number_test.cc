#include <catch2/catch.hpp>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(100'000);

// After 2^32 reports or outcomes of a process, peers ignored it until its end.
TEST_CASE("numbers of reports and outcomes go on from 0 after the largest") {
  selector_fleet fleet(1);
  fleet.SetInstances(MakeEntries(2, "ledger"), kStart);
  load_report report;
  report.incarnation = 5;
  report.number = UINT32_MAX;
  report.outcomes = {
      {UINT32_MAX, KeyOf("ledger-0"), attempt_outcome::kOk, millis(0)}};
  fleet[0].Apply("peer", report, kStart);
  report.number = 0;
  report.load = {{KeyOf("ledger-0"), 2}};
  report.outcomes.push_back(
      {0, KeyOf("ledger-1"), attempt_outcome::kBroken, millis(0)});
  fleet[0].Apply("peer", report, kStart);
  CHECK(fleet[0].suspects() == 1);
  CHECK(fleet[0].Choose(MakeRequest("ledger"), kStart).in_flight == 2);
}

}  // namespace
}  // namespace peridotarch
