#include <catch2/catch.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "core/invariant.h"
#include "core/random.h"
#include "tests/request/world.h"

namespace peridotarch {
namespace {

constexpr size_t kSteps = names_of<path_step>::kTable.size();
constexpr size_t kFaults = names_of<fault>::kTable.size();

// The full number runs in the release build; sanitizers are ten times slower.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t kSchedules = 1'000;
#else
constexpr uint64_t kSchedules = 10'000;
#endif

// Returns why a fault cannot occur at a step, or an empty string.
std::string NotApplicable(path_step step, fault kind) {
  const bool written = step >= path_step::kWait;
  const bool read = step >= path_step::kReply;
  switch (kind) {
    case fault::kResetBeforeWrite:
      return written ? "the request is written" : "";
    case fault::kShed:
      return written ? "the instance has taken the request" : "";
    case fault::kSlow:
      return step >= path_step::kRead ? "the answer is there" : "";
    case fault::kLateAnswer:
      return step >= path_step::kRead ? "the answer is there" : "";
    case fault::kResetAfterWrite:
    case fault::kTruncated:
      return read ? "the exchange is over" : "";
    default:
      return "";
  }
}

void AddTo(world_result& sum, const world_result& result) {
  sum.injected += result.injected;
  sum.submissions += result.submissions;
  sum.replies += result.replies;
  sum.answered += result.answered;
  sum.told_not_run += result.told_not_run;
  sum.told_may_have_run += result.told_may_have_run;
  sum.runs += result.runs;
  sum.duplicates += result.duplicates;
  sum.false_not_run += result.false_not_run;
  sum.false_ran += result.false_ran;
  sum.foreign += result.foreign;
  sum.unanswered += result.unanswered;
  for (size_t i = 0; i < sum.reasons.size(); ++i) {
    sum.reasons[i] += result.reasons[i];
  }
}

bool KeepsPromises(const world_result& result) {
  return result.duplicates == 0 && result.false_not_run == 0 &&
         result.false_ran == 0 && result.foreign == 0;
}

TEST_CASE("every fault at every step keeps the promises") {
  SetBreachesFatal(true);
  constexpr uint64_t kSeedsPerCell = 25;
  std::cout << "fault matrix, " << kSeedsPerCell << " seeds a cell\n";
  for (size_t s = 0; s < kSteps; ++s) {
    for (size_t f = 0; f < kFaults; ++f) {
      const auto step = static_cast<path_step>(s);
      const auto kind = static_cast<fault>(f);
      const std::string reason = NotApplicable(step, kind);
      std::cout << ToName(step) << " x " << ToName(kind) << ": ";
      if (!reason.empty()) {
        std::cout << "n/a (" << reason << ")\n";
        continue;
      }
      world_result sum;
      for (uint64_t seed = 1; seed <= kSeedsPerCell; ++seed) {
        const uint64_t mixed = seed * 1000 + s * kFaults + f;
        const world_result result = RunWorld(mixed, {{step, kind, 0}}, {2});
        INFO(ToName(step) << " x " << ToName(kind) << " seed " << mixed);
        CHECK(KeepsPromises(result));
        AddTo(sum, result);
      }
      CHECK(sum.injected > 0);
      std::cout << (KeepsPromises(sum) ? "pass" : "FAIL") << " (struck "
                << sum.injected << ")\n";
    }
  }
}

TEST_CASE("without faults every request runs once and is answered") {
  SetBreachesFatal(true);
  world_result sum;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    const world_result result = RunWorld(seed, {}, {3});
    INFO("seed " << seed);
    CHECK(KeepsPromises(result));
    CHECK(result.unanswered == 0);
    AddTo(sum, result);
  }
  CHECK(sum.answered >= 500);
}

// The holder of a key gives up with not_run while a second submission of the
// key waits at another node: that submission must not run.
TEST_CASE("a pending repeat does not run after not_run was reported") {
  SetBreachesFatal(true);
  constexpr uint64_t kSeeds = 2'000;
  world_result sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<planned_fault> faults;
    for (int attempt = 0; attempt < 3; ++attempt) {
      faults.push_back({path_step::kConnect, fault::kResetBeforeWrite, 0});
    }
    const world_result result = RunWorld(seed, faults, {1, true});
    INFO("seed " << seed);
    CHECK(KeepsPromises(result));
    AddTo(sum, result);
  }
  std::cout << "twins, seeds 1.." << kSeeds << ": submissions "
            << sum.submissions << ", told not_run " << sum.told_not_run
            << ", runs " << sum.runs << ", duplicates " << sum.duplicates
            << ", false not_run " << sum.false_not_run << '\n';
  CHECK(sum.told_not_run > 500);
}

TEST_CASE("random schedules of faults keep the promises") {
  SetBreachesFatal(true);
  constexpr uint64_t kFirstSeed = 500'000;
  world_result sum;
  for (uint64_t i = 0; i < kSchedules; ++i) {
    const uint64_t seed = kFirstSeed + i;
    random_bits random(seed);
    std::vector<planned_fault> faults;
    const uint64_t count = 1 + random.Below(5);
    for (uint64_t n = 0; n < count; ++n) {
      faults.push_back({static_cast<path_step>(random.Below(kSteps)),
                        static_cast<fault>(random.Below(kFaults)),
                        random.Below(3)});
    }
    const world_result result = RunWorld(seed, faults, {3});
    INFO("seed " << seed);
    CHECK(KeepsPromises(result));
    AddTo(sum, result);
  }
  std::cout << "schedules " << kSchedules << ", seeds " << kFirstSeed << ".."
            << kFirstSeed + kSchedules - 1 << ": faults " << sum.injected
            << ", submissions " << sum.submissions << ", replies "
            << sum.replies << ", whole answers " << sum.answered
            << ", told not_run " << sum.told_not_run << ", told may_have_run "
            << sum.told_may_have_run << ", runs " << sum.runs << ", duplicates "
            << sum.duplicates << ", false not_run " << sum.false_not_run
            << ", false ran " << sum.false_ran << ", foreign " << sum.foreign
            << '\n';
  for (size_t i = 0; i < sum.reasons.size(); ++i) {
    if (sum.reasons[i] > 0) {
      std::cout << "  " << names_of<reason>::kTable[i] << ' ' << sum.reasons[i]
                << '\n';
    }
  }
  CHECK(sum.injected > static_cast<int>(kSchedules));
  CHECK(sum.told_not_run > 0);
}

}  // namespace
}  // namespace peridotarch
