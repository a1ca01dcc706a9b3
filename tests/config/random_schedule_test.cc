#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "core/invariant.h"
#include "tests/config/fleet.h"

namespace peridotarch {
namespace {

constexpr int kLines = 4;
constexpr size_t kNodes = 4;
// CI runs the schedules of both tests, 10,000 in total.
constexpr int kBaseSchedules = 6000;
constexpr int kResetSchedules = 4000;
constexpr double kFaultsPerSize = 0.2;  // Up to 20 faults.
constexpr int64_t kUnitMs = 100;
constexpr millis kLimit{90'000};

enum class fault {
  kCrash,
  kPause,
  kCutOneWay,
  kCutLog,
  kStaleLog,
  kLogUnreachable,
  kTrimLog,
  kDropLatest,
  kResetWhole,
  kDuplicate,
  kReorder,
  kLoseAnswers,
  kLoss,
  kHeal,
  kPublish,
  kRace,
};

/// One fault of a schedule.
struct scheduled_fault {
  fault kind = fault::kHeal;
  int at = 0;  // In units of kUnitMs.
  size_t node = 0;
  size_t other = 0;
  int size = 0;
};

void showValue(const scheduled_fault& f, std::ostream& out) {
  out << "{kind " << static_cast<int>(f.kind) << " at " << f.at << " node "
      << f.node << " other " << f.other << " size " << f.size << "}";
}

// Faults that may occur at any time in normal operation.
const std::vector<fault> kBaseFaults = {
    fault::kCrash,     fault::kPause,    fault::kCutOneWay,
    fault::kCutLog,    fault::kStaleLog, fault::kLogUnreachable,
    fault::kDuplicate, fault::kReorder,  fault::kLoseAnswers,
    fault::kLoss,      fault::kHeal,     fault::kPublish,
    fault::kRace};

std::vector<fault> AddFaults(std::vector<fault> kinds,
                             const std::vector<fault>& more) {
  kinds.insert(kinds.end(), more.begin(), more.end());
  return kinds;
}

rc::Gen<scheduled_fault> AnyFault(const std::vector<fault>& kinds) {
  return rc::gen::build<scheduled_fault>(
      rc::gen::set(&scheduled_fault::kind, rc::gen::elementOf(kinds)),
      rc::gen::set(&scheduled_fault::at, rc::gen::inRange(0, 60)),
      rc::gen::set(&scheduled_fault::node, rc::gen::inRange<size_t>(0, kNodes)),
      rc::gen::set(&scheduled_fault::other,
                   rc::gen::inRange<size_t>(0, kNodes)),
      rc::gen::set(&scheduled_fault::size, rc::gen::inRange(1, 60)));
}

void Apply(fleet& f, const scheduled_fault& fault_now) {
  const uint64_t head = f.LogHead().id.number;
  const std::string tag = std::to_string(f.now.count());
  const auto size = static_cast<size_t>(fault_now.size);
  switch (fault_now.kind) {
    case fault::kCrash:
      f.Crash(fault_now.node);
      break;
    case fault::kPause:
      f.Pause(fault_now.node, millis(fault_now.size * kUnitMs));
      break;
    case fault::kCutOneWay:
      f.CutLink(fault_now.node, fault_now.other, true);
      break;
    case fault::kCutLog:
      f.CutLog(fault_now.node, true);
      break;
    case fault::kStaleLog:
      f.log.stale_by = size % 4;
      break;
    case fault::kLogUnreachable:
      f.log.is_unreachable = true;
      break;
    case fault::kTrimLog:
      f.log.Trim(size % 8);
      break;
    case fault::kDropLatest:
      f.log.DropLatest(size % 4);
      break;
    case fault::kResetWhole:
      f.log.ResetToEmpty();
      break;
    case fault::kDuplicate:
      f.duplicate = true;
      break;
    case fault::kReorder:
      f.reorder = true;
      break;
    case fault::kLoseAnswers:
      f.lose_answers = true;
      break;
    case fault::kLoss:
      f.loss = 0.2;
      break;
    case fault::kHeal:
      f.HealNetwork();
      break;
    case fault::kRace:
      f.Publish(TestRules(kLines, 0, "race" + tag), head);
      [[fallthrough]];
    case fault::kPublish:
      f.Publish(TestRules(kLines, fault_now.size % kLines, tag), head,
                fault_now.size % 2 == 0);
      break;
  }
}

// Returns what failed, or "". A breach of the invariant config_forward throws.
std::string RunSchedule(uint64_t seed, std::vector<scheduled_fault> faults) {
  std::ranges::stable_sort(faults, {}, &scheduled_fault::at);
  fleet f(kNodes, seed);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  int at = 0;
  for (const scheduled_fault& next : faults) {
    f.Run(millis((next.at - at) * kUnitMs));
    at = next.at;
    Apply(f, next);
  }
  f.Run(millis(10 * kUnitMs));
  f.HealNetwork();
  return f.Converge(kLimit) ? "" : "no convergence on the log's head";
}

// Runs random schedules and checks each one.
void CheckSchedules(const std::vector<fault>& kinds, int schedules) {
  SetBreachesFatal(true);
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = schedules;
  std::cout << "randomised schedules: RC_PARAMS=\"seed=" << params.seed
            << "\", " << schedules << " schedules\n";
  // Rapidcheck's ranges grow with the size. Each fault is drawn at the full
  // size, so only the number of faults grows.
  const auto one = rc::gen::resize(rc::kNominalSize, AnyFault(kinds));
  const auto property = [&one]() {
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>());
    const auto faults = *rc::gen::scale(
        kFaultsPerSize, rc::gen::container<std::vector<scheduled_fault>>(one));
    const std::string failure = RunSchedule(seed, faults);
    RC_LOG(failure);
    RC_ASSERT(failure.empty());
  };
  const auto result = rc::detail::checkTestable(
      property, rc::detail::TestMetadata{"schedules", ""}, params);
  rc::detail::printResultMessage(result, std::cout);
  std::cout << '\n';
  CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("randomised schedules: no node goes back, all reach the log's head") {
  CheckSchedules(kBaseFaults, kBaseSchedules);
}

TEST_CASE("randomised schedules with log resets") {
  CheckSchedules(
      AddFaults(kBaseFaults, {fault::kDropLatest, fault::kResetWhole}),
      kResetSchedules);
}

// Listed in KNOWN-RED.txt; run it by its tag.
TEST_CASE("randomised schedules with log resets and early loss of records",
          "[.known-red]") {
  CheckSchedules(AddFaults(kBaseFaults, {fault::kDropLatest, fault::kResetWhole,
                                         fault::kTrimLog}),
                 kResetSchedules);
}

}  // namespace
}  // namespace peridotarch
