#ifndef TESTS_DETECTION_SHARD_WORLD_H_
#define TESTS_DETECTION_SHARD_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/trial_pace.h"
#include "detection/outlier_detector.h"

namespace peridotarch {

/// What may happen to the processes and the platform.
struct world_faults {
  bool a_paused = false;
  bool sends_lost = false;    ///< What owner A sends arrives nowhere.
  bool answers_lost = false;  ///< What is sent to owner A does not arrive.
  double loss = 0;            ///< Of A's attempts and of appends.
  bool duplicates = false;
  bool stale_list = false;
  bool log_away = false;
  bool health_lies = false;  ///< Probes of the sick instance are answered.
};

/// One service of six instances with one shard, two processes that may own it,
/// a log and a list. Steps of 10 ms.
class shard_world {
 public:
  static constexpr int kInstances = 6;
  static constexpr int kSlots = 3;
  static constexpr int kFloor = 12;
  static constexpr millis kStep{10};

  explicit shard_world(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kInstances; ++i) {
      list_.push_back(Entry(i));
    }
    first_list_ = list_;
    Start(0);
    Start(1);
    owners_[0].active = true;
  }

  /// A process with that number starts anew; it does not own the shard yet.
  void Start(int number) {
    owner& started = owners_[number];
    started = owner();
    started.work = std::make_unique<outlier_detector>(detector_identity{
        "node-" + std::to_string(number), ++processes_, kService, 0});
    service_rule rule;
    rule.name = kService;
    rule.floor = kFloor;
    rule.slots_per_instance = kSlots;
    started.work->SetService(rule, 1);
  }

  void SetActive(int number, bool active) {
    owners_[number].active = active;
    List(number);
  }

  void Resign(int number) {
    Apply(number, owners_[number].work->Resign(Wall()));
    owners_[number].active = false;
  }

  void Step() {
    now_ += kStep;
    for (int number = 0; number < 2; ++number) {
      owner& each = owners_[number];
      if (number == 0 && faults.a_paused) {
        continue;
      }
      Read(number);
      if (now_.count() % kListEvery.count() == 0) {
        List(number);
      }
      if (each.active) {
        Work(number);
      }
      if (now_.count() % kDetectorTick.count() == 0) {
        Apply(number, each.work->Tick(now_, Wall()));
      }
    }
    Deliver();
    CheckFloor();
  }

  /// The instance itself says that it is leaving, in an answer to that owner.
  void Drain(int instance, int number) {
    Apply(number, owners_[number].work->OnLeaving(Id(instance), 1, now_));
    for (host& entry : list_) {
      if (entry.id == Id(instance)) {
        entry.state = host_state::kLeaving;
      }
    }
  }

  void Join(int instance) { list_.push_back(Entry(instance)); }

  instance_state StateOf(int number, int instance) {
    return owners_[number].work->StateOf(Id(instance));
  }
  outlier_detector& at(int number) { return *owners_[number].work; }
  [[nodiscard]] bool active(int number) const { return owners_[number].active; }
  [[nodiscard]] millis now() const { return now_; }
  [[nodiscard]] size_t appended() const { return appended_; }
  [[nodiscard]] const std::string& broken() const { return broken_; }

  /// When an owner last sent work to the instance.
  millis LastWork(int number, int instance) {
    return owners_[number].last_work[instance];
  }

  static std::string Id(int i) { return "payout-" + std::to_string(i); }

  world_faults faults;
  std::set<int> sick;  ///< Instances that fail all work.

 private:
  static constexpr const char* kService = "payout-desk";
  static constexpr millis kTimeout{300};
  static constexpr millis kListEvery{500};

  struct owner {
    std::unique_ptr<outlier_detector> work;
    bool active = false;
    size_t read = 0;
    std::map<int, millis> last_work;
  };
  struct ending {
    millis at;
    int number = 0;
    const outlier_detector* process = nullptr;
    int instance = 0;
    uint64_t attempt = 0;
    outcome how;
  };

  static host Entry(int i) {
    host entry;
    entry.service = kService;
    entry.id = Id(i);
    entry.zone = "zone-" + std::to_string(i % 3);
    entry.incarnation = 1;
    return entry;
  }

  [[nodiscard]] millis Wall() const { return now_ + millis(1'700'000'000'000); }

  void List(int number) {
    const std::vector<host>& list = faults.stale_list ? first_list_ : list_;
    std::vector<std::string> own;
    for (const host& entry : list) {
      if (owners_[number].active) {
        own.push_back(entry.id);
      }
    }
    Apply(number, owners_[number].work->SetInstances(list, own, now_));
  }

  void Read(int number) {
    owner& reading = owners_[number];
    const bool away =
        faults.log_away ||
        (number == 0 && (faults.sends_lost || faults.answers_lost));
    if (!away) {
      while (reading.read < log_.size()) {
        const auto& [bytes, appended] = log_[reading.read++];
        reading.work->OnEjectionRecord(bytes, appended);
      }
    }
    Apply(number, reading.work->SetLogAway(away));
  }

  void Work(int number) {
    owner& sending = owners_[number];
    for (const state_change& each : sending.work->States()) {
      const bool regular = each.state == instance_state::kOpen ||
                           each.state == instance_state::kCold;
      const bool trickle = each.state == instance_state::kSuspect ||
                           each.state == instance_state::kProbation;
      const bool due = now_.count() % TrialInterval(each.state).count() == 0;
      if ((regular && random_.Below(5) != 0) || (trickle && due)) {
        Attempt(number, std::stoi(each.instance.substr(7)));
      }
    }
  }

  void Attempt(int number, int instance) {
    owner& sending = owners_[number];
    sending.last_work[instance] = now_;
    const uint64_t attempt = ++attempts_;
    sending.work->OnStart(Id(instance), attempt, 0, now_);
    ending end;
    end.number = number;
    end.process = sending.work.get();
    end.instance = instance;
    end.attempt = attempt;
    const bool lost =
        number == 0 && (faults.sends_lost || faults.answers_lost ||
                        random_.Unit() < faults.loss);
    if (lost) {
      end.at = now_ + kTimeout;
      end.how.kind = outcome_kind::kTimeout;
    } else {
      const auto took = 5 + random_.Below(20);
      end.at = now_ + millis(static_cast<int64_t>(took));
      end.how.latency_us = static_cast<int64_t>(took) * 1000;
      end.how.kind =
          sick.contains(instance) ? outcome_kind::kError : outcome_kind::kOk;
    }
    endings_.push_back(end);
  }

  void Deliver() {
    std::vector<ending> due;
    std::erase_if(endings_, [&](const ending& each) {
      const bool paused = each.number == 0 && faults.a_paused;
      if (each.at > now_ || paused) {
        return false;
      }
      due.push_back(each);
      return true;
    });
    for (const ending& each : due) {
      owner& to = owners_[each.number];
      if (to.work.get() == each.process) {
        Apply(each.number, to.work->OnOutcome(Id(each.instance), each.attempt,
                                              each.how, now_));
      }
    }
  }

  void Apply(int number, detector_actions actions) {
    for (detector_action& each : actions) {
      if (auto* append = std::get_if<ledger_append>(&each)) {
        Append(number, append->bytes);
      } else if (auto* word = std::get_if<leaving_announcement>(&each)) {
        const bool heard = !(faults.sends_lost || faults.answers_lost);
        if (heard) {
          Apply(1 - number,
                owners_[1 - number].work->OnLeaving(
                    word->note.instance, word->note.incarnation, now_));
        }
      } else if (auto* ask = std::get_if<probe_request>(&each)) {
        const int instance = std::stoi(ask->instance.substr(7));
        const bool cut =
            number == 0 && (faults.sends_lost || faults.answers_lost);
        const bool answered =
            !cut && (!sick.contains(instance) || faults.health_lies);
        Apply(number,
              owners_[number].work->OnProbe(ask->instance, answered, now_));
      }
    }
  }

  void Append(int number, const std::string& bytes) {
    ++appended_;
    const bool cut = number == 0 && faults.sends_lost;
    if (faults.log_away || cut || random_.Unit() < faults.loss) {
      return;
    }
    log_.emplace_back(bytes, Wall());
    if (faults.duplicates) {
      log_.emplace_back(bytes, Wall());
    }
  }

  void CheckFloor() {
    std::set<std::string> out;
    for (const owner& each : owners_) {
      for (const state_change& state : each.work->States()) {
        if (state.state == instance_state::kEjected ||
            state.state == instance_state::kProbation) {
          out.insert(state.instance);
        }
      }
    }
    int healthy = 0;
    int all = 0;
    for (const host& entry : list_) {
      const bool live = entry.state == host_state::kLive;
      all += live ? kSlots : 0;
      healthy += live && !out.contains(entry.id) ? kSlots : 0;
    }
    if (!out.empty() && healthy < std::min(all, kFloor)) {
      broken_ = "floor broken at " + std::to_string(now_.count()) + " ms";
    }
  }

  random_bits random_;
  millis now_{1'000};
  owner owners_[2];
  std::vector<host> list_;
  std::vector<host> first_list_;
  std::vector<std::pair<std::string, millis>> log_;
  std::vector<ending> endings_;
  uint64_t attempts_ = 0;
  uint64_t processes_ = 0;
  size_t appended_ = 0;
  std::string broken_;
};

}  // namespace peridotarch

#endif  // TESTS_DETECTION_SHARD_WORLD_H_
