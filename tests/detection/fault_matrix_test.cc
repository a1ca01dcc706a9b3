#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "core/invariant.h"
#include "core/names.h"
#include "shard_world.h"

namespace peridotarch {
namespace {

enum class step {
  kSuspect,
  kReport,
  kDecide,
  kEject,
  kProbe,
  kReinstate,
  kLeave,
  kJoin,
  kHandOver,
};
constexpr std::array<std::string_view, 9> kSteps = {
    "suspect",   "report", "decide", "eject",    "probe",
    "reinstate", "leave",  "join",   "hand over"};

enum class fault {
  kCrash,
  kPause,
  kSendsCut,
  kAnswersCut,
  kLoss,
  kDuplicate,
  kStaleList,
  kLogAway,
  kLyingHealth,
  kTwoAtOnce,
};
constexpr std::array<std::string_view, 10> kFaults = {
    "crash",     "pause",      "sends cut", "answers cut",  "loss",
    "duplicate", "stale list", "log away",  "lying health", "two at once"};

constexpr int kSick = 2;
constexpr int kDrained = 5;
constexpr int kJoined = 6;
constexpr millis kSickAt(5'000);
constexpr millis kWellAt(13'000);
constexpr millis kDrainAt(40'000);
constexpr millis kJoinAt(44'000);
constexpr millis kHandOverAt(58'000);
constexpr millis kEnd(90'000);
constexpr millis kFaultSpan(4'000);
constexpr millis kLeavingBound(3'000);
constexpr millis kDetectionBound(2'000);

bool IsOut(instance_state state) {
  return state == instance_state::kEjected ||
         state == instance_state::kProbation;
}

// Goes through all steps in order, with one fault that begins at one step.
class fault_run {
 public:
  fault_run(step at, fault kind)
      : step_(at),
        fault_(kind),
        world_(static_cast<uint64_t>(at) * 100 + static_cast<uint64_t>(kind) +
               1) {}

  // Returns what went wrong, or an empty string.
  std::string Execute() {
    while (world_.now() < kEnd && failure_.empty()) {
      ApplyScript();
      if (fault_began_at_ == millis() && IsStepReached()) {
        BeginFault();
      }
      if (fault_began_at_ != millis() && !fault_ended_ &&
          world_.now() - fault_began_at_ >= FaultSpan()) {
        EndFault();
      }
      world_.Step();
      CheckBounds();
    }
    if (failure_.empty()) {
      CheckFinalStates();
    }
    return failure_;
  }

 private:
  void ApplyScript() {
    const millis now = world_.now();
    if (now == kSickAt) {
      world_.sick.insert(kSick);
    } else if (now == kWellAt) {
      world_.sick.clear();
    } else if (now == kDrainAt) {
      world_.Drain(kDrained, owner_);
      drained_at_ = now;
    } else if (now == kJoinAt) {
      world_.Join(kJoined);
    } else if (now == kHandOverAt && owner_ == 0) {
      world_.Resign(0);
      world_.SetActive(1, true);
      owner_ = 1;
    }
  }

  // Returns whether the first effect of the step is visible.
  bool IsStepReached() {
    const instance_state state = world_.StateOf(owner_, kSick);
    const millis now = world_.now();
    const bool was_sick = now > kSickAt;
    switch (step_) {
      case step::kSuspect:
        return was_sick && state == instance_state::kSuspect;
      case step::kReport:
        return was_sick && IsOut(state);
      case step::kDecide:
        return was_sick && world_.appended() >= 2;
      case step::kEject:
        return was_sick && IsOut(state) && now > kSickAt + millis(1'000);
      case step::kProbe:
        return state == instance_state::kProbation;
      case step::kReinstate:
        return now > kWellAt && state == instance_state::kOpen;
      case step::kLeave:
        return now >= kDrainAt;
      case step::kJoin:
        return now >= kJoinAt;
      case step::kHandOver:
        return now >= kHandOverAt;
    }
    return false;
  }

  void BeginFault() {
    fault_began_at_ = world_.now();
    world_faults& faults = world_.faults;
    switch (fault_) {
      case fault::kCrash:
        world_.Start(0);
        world_.SetActive(1, true);
        owner_ = 1;
        break;
      case fault::kPause:
        faults.a_paused = true;
        break;
      case fault::kSendsCut:
        faults.sends_lost = true;
        break;
      case fault::kAnswersCut:
        faults.answers_lost = true;
        break;
      case fault::kLoss:
        faults.loss = 0.2;
        break;
      case fault::kDuplicate:
        faults.duplicates = true;
        break;
      case fault::kStaleList:
        faults.stale_list = true;
        break;
      case fault::kLogAway:
        faults.log_away = true;
        break;
      case fault::kLyingHealth:
        faults.health_lies = true;
        break;
      case fault::kTwoAtOnce:
        // The owner is paused, another process takes over and the log is away.
        // Later both processes act as the owner.
        faults.a_paused = true;
        faults.log_away = true;
        world_.SetActive(1, true);
        break;
    }
  }

  void EndFault() {
    fault_ended_ = true;
    world_.faults = {};
    if (fault_ == fault::kTwoAtOnce && owner_ == 0) {
      two_owners_until_ = world_.now() + kFaultSpan;
    }
  }

  [[nodiscard]] static millis FaultSpan() { return kFaultSpan; }

  void CheckBounds() {
    if (two_owners_until_ != millis() && world_.now() >= two_owners_until_) {
      two_owners_until_ = millis();
      world_.Resign(0);
      owner_ = 1;
    }
    if (!world_.failure().empty()) {
      failure_ = world_.failure();
    }
    const bool disturbed = fault_began_at_ != millis() &&
                           fault_began_at_ <= kSickAt + kDetectionBound;
    if (!disturbed && world_.now() == kSickAt + kDetectionBound &&
        world_.StateOf(owner_, kSick) == instance_state::kOpen) {
      failure_ = "the sick instance is still open after 2 s";
    }
    const bool a_paused = world_.faults.a_paused;
    for (const int number : {0, 1}) {
      if (drained_at_ != millis() && world_.active(number) &&
          !(number == 0 && a_paused) &&
          world_.LastWork(number, kDrained) > drained_at_ + kLeavingBound) {
        failure_ = "a leaving instance got work after 3 s";
      }
    }
  }

  void CheckFinalStates() {
    for (int i = 0; i <= kJoined; ++i) {
      const instance_state state = world_.StateOf(owner_, i);
      const instance_state wanted =
          i == kDrained ? instance_state::kLeaving : instance_state::kOpen;
      if (state != wanted) {
        failure_ = shard_world::Id(i) + " ends as " +
                   std::string(ToName(state)) + ", not " +
                   std::string(ToName(wanted));
      }
    }
    if (fault_began_at_ == millis()) {
      failure_ = "the step was never reached";
    }
    if (world_.at(0).ejection_rights().ejection_ledger().head_digest() !=
        world_.at(1).ejection_rights().ejection_ledger().head_digest()) {
      failure_ = "the ledgers differ";
    }
  }

  const step step_;
  const fault fault_;
  shard_world world_;
  int owner_ = 0;
  millis fault_began_at_;
  bool fault_ended_ = false;
  millis drained_at_;
  millis two_owners_until_;
  std::string failure_;
};

TEST_CASE("every fault at every step of a judgement") {
  SetBreachesFatal(true);
  for (size_t s = 0; s < kSteps.size(); ++s) {
    for (size_t f = 0; f < kFaults.size(); ++f) {
      fault_run tested(static_cast<step>(s), static_cast<fault>(f));
      const std::string failure = tested.Execute();
      std::cout << "judgement matrix: " << kSteps[s] << " x " << kFaults[f]
                << ": " << (failure.empty() ? "pass" : failure) << "\n";
      CHECK(failure.empty());
    }
  }
}

}  // namespace
}  // namespace peridotarch
