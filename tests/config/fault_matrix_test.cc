#include <catch2/catch.hpp>
#include <iostream>

#include "core/invariant.h"
#include "tests/config/fleet.h"
#include "tests/support/fault_table.h"

namespace peridotarch {
namespace {

constexpr int kLines = 6;
constexpr size_t kNodes = 4;
constexpr size_t kVictim = 2;
constexpr uint64_t kSeeds = 5;
constexpr millis kFaultSpan{5000};
constexpr millis kLimit{60'000};
constexpr millis kReachLimit{20'000};

enum class fault {
  kCrash,
  kPause,
  kLostAnswer,
  kDuplicate,
  kReorder,
  kCutOut,
  kCutIn,
  kStaleReplica,
  kLogAway,
  kLogTruncated,
  kLogReset,
  kTwoOperators,
};

struct named_fault {
  fault kind;
  const char* name;
};

constexpr named_fault kFaults[] = {
    {fault::kCrash, "crash"},
    {fault::kPause, "pause"},
    {fault::kLostAnswer, "lost answer"},
    {fault::kDuplicate, "duplicate"},
    {fault::kReorder, "reorder"},
    {fault::kCutOut, "cut out"},
    {fault::kCutIn, "cut in"},
    {fault::kStaleReplica, "stale replica"},
    {fault::kLogAway, "log away"},
    {fault::kLogTruncated, "log truncated"},
    {fault::kLogReset, "log reset"},
    {fault::kTwoOperators, "two operators"},
};

struct named_step {
  protocol_step step;
  const char* name;
};

constexpr named_step kSteps[] = {
    {protocol_step::kPublishRead, "publish read"},
    {protocol_step::kPublishAppend, "publish append"},
    {protocol_step::kPublishLookup, "publish look-up"},
    {protocol_step::kRenewAppend, "renew append"},
    {protocol_step::kFollowRead, "spread read"},
    {protocol_step::kGossip, "spread gossip"},
    {protocol_step::kFetch, "spread fetch"},
    {protocol_step::kStartRead, "start read"},
    {protocol_step::kStartFetch, "start fetch"},
};

bool IsOperatorStep(protocol_step step) {
  return step == protocol_step::kPublishRead ||
         step == protocol_step::kPublishAppend ||
         step == protocol_step::kPublishLookup;
}

// Returns why a fault cannot occur at a step, or "".
std::string NotApplicable(protocol_step step, fault kind) {
  const bool cut = kind == fault::kCutOut || kind == fault::kCutIn;
  if (IsOperatorStep(step) && cut) {
    return "the command talks to the log alone: log away, lost answer";
  }
  if (step == protocol_step::kGossip && kind == fault::kLostAnswer) {
    return "gossip has no answer";
  }
  if (step == protocol_step::kRenewAppend && kind == fault::kLostAnswer) {
    return "the node does not use the answer; it reads";
  }
  return "";
}

void Inject(fleet& f, fault kind, protocol_step step, size_t who) {
  const bool by_operator = IsOperatorStep(step);
  switch (kind) {
    case fault::kCrash:
      by_operator ? f.KillOperator(who) : f.Crash(who);
      break;
    case fault::kPause:
      by_operator ? f.PauseOperator(who, kFaultSpan) : f.Pause(who, kFaultSpan);
      break;
    case fault::kLostAnswer:
      f.lose_answers = true;
      if (!by_operator) {
        f.CutLog(who, true);
      }
      for (size_t i = 0; i < kNodes && !by_operator; ++i) {
        f.CutLink(i, who, true);
      }
      break;
    case fault::kDuplicate:
      f.duplicate = true;
      break;
    case fault::kReorder:
      f.reorder = true;
      break;
    case fault::kCutOut:
    case fault::kCutIn:
      for (size_t i = 0; i < kNodes; ++i) {
        kind == fault::kCutOut ? f.CutLink(who, i, true)
                               : f.CutLink(i, who, true);
      }
      break;
    case fault::kStaleReplica:
      f.log.stale_by = 1;
      break;
    case fault::kLogAway:
      f.log.is_unreachable = true;
      break;
    case fault::kLogTruncated:
      f.log.DropLatest(1);
      break;
    case fault::kLogReset:
      f.log.ResetToEmpty();
      break;
    case fault::kTwoOperators:
      f.Publish(TestRules(kLines, 1, "rival"), 1);
      break;
  }
}

// Brings the fleet to a state in which the step follows.
void PrepareStep(fleet& f, protocol_step step) {
  switch (step) {
    case protocol_step::kStartFetch:
      f.log.is_unreachable = true;
      f.Crash(kVictim);
      break;
    case protocol_step::kStartRead:
      f.Crash(kVictim);
      break;
    case protocol_step::kFetch:
      f.CutLog(kVictim, true);
      f.Publish(TestRules(kLines, 1, "change"), 1);
      break;
    default:
      f.Publish(TestRules(kLines, 1, "change"), 1);
      break;
  }
}

// Checks that a revision reported as accepted is in the log.
bool IsInLog(const fleet& f, const publish_result& result) {
  if (result.outcome != publish_outcome::kAccepted) {
    return true;
  }
  log_follower reader(kTestKey, true);
  reader.Watch(result.head.id.number);
  while (!reader.caught_up()) {
    reader.OnPage(f.log.Read(reader.next_offset()), f.now);
    if (reader.found_no_snapshot()) {
      return true;  // The log was reset or trimmed meanwhile.
    }
  }
  return reader.watched() && reader.watched()->id == result.head.id;
}

std::string RunCell(protocol_step step, fault kind, uint64_t seed) {
  constexpr millis kRetention{8000};
  fleet f(kNodes, seed, true, kRetention);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  if (!f.Converge(kLimit)) {
    return "no first revision";
  }
  bool is_injected = false;
  f.on_step = [&](protocol_step at, size_t who) {
    if (at == step && !is_injected) {
      is_injected = true;
      Inject(f, kind, step, who);
    }
  };
  PrepareStep(f, step);
  for (millis waited; !is_injected && waited < kReachLimit;
       waited += millis(500)) {
    f.Run(millis(500));
  }
  if (!is_injected) {
    return "the step was not reached";
  }
  f.Run(kFaultSpan);
  f.HealNetwork();
  if (!f.Converge(kLimit)) {
    return "no convergence on the log's head";
  }
  const bool reset = kind == fault::kLogReset || kind == fault::kLogTruncated;
  for (const auto& result : f.results) {
    if (result && !reset && !IsInLog(f, *result)) {
      return "an accepted revision is not in the log";
    }
  }
  return f.InForce(0).id.number >= 1 ? "" : "the rules are lost";
}

TEST_CASE("fault matrix: publish, renew, spread and start") {
  SetBreachesFatal(true);
  fault_table table;
  for (const named_step& step : kSteps) {
    for (const named_fault& f : kFaults) {
      const std::string reason = NotApplicable(step.step, f.kind);
      if (!reason.empty()) {
        table.AddNotApplicable(step.name, f.name, reason);
        continue;
      }
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        std::string failure;
        try {
          failure = RunCell(step.step, f.kind, seed);
        } catch (const std::exception& breach) {
          failure = breach.what();
        }
        table.Add(step.name, f.name, failure.empty(),
                  failure + ", seed " + std::to_string(seed));
      }
    }
  }
  table.Print(
      "configuration: each cell with seeds 1 to " + std::to_string(kSeeds),
      std::cout);
  CHECK(table.AllPassed());
}

}  // namespace
}  // namespace peridotarch
