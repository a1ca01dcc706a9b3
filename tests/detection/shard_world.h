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

/// Faults of the processes, the network, the log and the platform.
struct world_faults {
  bool a_paused = false;
  bool sends_lost = false;    ///< Everything that owner A sends is lost.
  bool answers_lost = false;  ///< Everything that is sent to owner A is lost.
  double loss = 0;  ///< Share of lost attempts of A and of lost appends.
  bool duplicates = false;
  bool stale_list = false;
  bool log_away = false;
  bool health_lies = false;  ///< Probes of the sick instance are answered.
};

/// A service of six instances in one shard, two processes that may own the
/// shard (A is number 0), a log and a platform list. Time advances in steps of
/// 10 ms.
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

  /// Starts a new process with that number; it does not own the shard yet.
  void Start(int number) {
    owner& started = owners_[number];
    started = owner();
    started.detector = std::make_unique<outlier_detector>(detector_identity{
        "node-" + std::to_string(number), ++processes_, kService, 0});
    service_rule rule;
    rule.name = kService;
    rule.floor = kFloor;
    rule.slots_per_instance = kSlots;
    started.detector->SetService(rule, 1);
  }

  void SetActive(int number, bool active) {
    owners_[number].active = active;
    List(number);
  }

  void Resign(int number) {
    Apply(number, owners_[number].detector->Resign(Wall()));
    owners_[number].active = false;
  }

  void Step() {
    now_ += kStep;
    for (int number = 0; number < 2; ++number) {
      owner& stepped = owners_[number];
      if (number == 0 && faults.a_paused) {
        continue;
      }
      Read(number);
      if (now_.count() % kListEvery.count() == 0) {
        List(number);
      }
      if (stepped.active) {
        SendWork(number);
      }
      if (now_.count() % kDetectorTick.count() == 0) {
        Apply(number, stepped.detector->Tick(now_, Wall()));
      }
    }
    Deliver();
    CheckFloor();
  }

  /// Makes the instance tell owner `number` in an answer that it is leaving,
  /// and marks the instance as leaving in the platform's list.
  void Drain(int instance, int number) {
    Apply(number, owners_[number].detector->OnLeaving(Id(instance), 1, now_));
    for (host& entry : list_) {
      if (entry.id == Id(instance)) {
        entry.state = host_state::kLeaving;
      }
    }
  }

  void Join(int instance) { list_.push_back(Entry(instance)); }

  instance_state StateOf(int number, int instance) {
    return owners_[number].detector->StateOf(Id(instance));
  }
  outlier_detector& at(int number) { return *owners_[number].detector; }
  [[nodiscard]] bool active(int number) const { return owners_[number].active; }
  [[nodiscard]] millis now() const { return now_; }
  [[nodiscard]] size_t appended() const { return appended_; }
  [[nodiscard]] const std::string& failure() const { return failure_; }

  /// Returns when that owner last sent work to the instance.
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
    std::unique_ptr<outlier_detector> detector;
    bool active = false;
    size_t read = 0;
    std::map<int, millis> last_work;
  };
  struct pending_outcome {
    millis ends_at;
    int number = 0;
    const outlier_detector* process = nullptr;
    int instance = 0;
    uint64_t attempt = 0;
    outcome ended;
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
    Apply(number, owners_[number].detector->SetInstances(list, own, now_));
  }

  void Read(int number) {
    owner& reading = owners_[number];
    const bool away =
        faults.log_away ||
        (number == 0 && (faults.sends_lost || faults.answers_lost));
    if (!away) {
      while (reading.read < log_.size()) {
        const auto& [bytes, appended] = log_[reading.read++];
        reading.detector->OnEjectionRecord(bytes, appended);
      }
    }
    Apply(number, reading.detector->SetLogAway(away));
  }

  void SendWork(int number) {
    owner& sending = owners_[number];
    for (const state_change& current : sending.detector->States()) {
      const bool regular = current.state == instance_state::kOpen ||
                           current.state == instance_state::kCold;
      const bool trickle = current.state == instance_state::kSuspect ||
                           current.state == instance_state::kProbation;
      const bool due = now_.count() % TrialInterval(current.state).count() == 0;
      if ((regular && random_.Below(5) != 0) || (trickle && due)) {
        Attempt(number, std::stoi(current.instance.substr(7)));
      }
    }
  }

  void Attempt(int number, int instance) {
    owner& sending = owners_[number];
    sending.last_work[instance] = now_;
    const uint64_t attempt = ++attempts_;
    sending.detector->OnStart(Id(instance), attempt, 0, now_);
    pending_outcome sent;
    sent.number = number;
    sent.process = sending.detector.get();
    sent.instance = instance;
    sent.attempt = attempt;
    const bool lost =
        number == 0 && (faults.sends_lost || faults.answers_lost ||
                        random_.Unit() < faults.loss);
    if (lost) {
      sent.ends_at = now_ + kTimeout;
      sent.ended.kind = outcome_kind::kTimeout;
    } else {
      const auto took = 5 + random_.Below(20);
      sent.ends_at = now_ + millis(static_cast<int64_t>(took));
      sent.ended.latency_us = static_cast<int64_t>(took) * 1000;
      sent.ended.kind =
          sick.contains(instance) ? outcome_kind::kError : outcome_kind::kOk;
    }
    pending_outcomes_.push_back(sent);
  }

  void Deliver() {
    std::vector<pending_outcome> due;
    std::erase_if(pending_outcomes_, [&](const pending_outcome& pending) {
      const bool paused = pending.number == 0 && faults.a_paused;
      if (pending.ends_at > now_ || paused) {
        return false;
      }
      due.push_back(pending);
      return true;
    });
    for (const pending_outcome& pending : due) {
      owner& to = owners_[pending.number];
      if (to.detector.get() == pending.process) {
        Apply(pending.number,
              to.detector->OnOutcome(Id(pending.instance), pending.attempt,
                                     pending.ended, now_));
      }
    }
  }

  void Apply(int number, detector_actions actions) {
    for (detector_action& action : actions) {
      if (auto* append = std::get_if<ledger_append>(&action)) {
        Append(number, append->bytes);
      } else if (auto* leaving = std::get_if<leaving_announcement>(&action)) {
        const bool arrives = !(faults.sends_lost || faults.answers_lost);
        if (arrives) {
          Apply(1 - number,
                owners_[1 - number].detector->OnLeaving(
                    leaving->note.instance, leaving->note.incarnation, now_));
        }
      } else if (auto* probe = std::get_if<probe_request>(&action)) {
        const int instance = std::stoi(probe->instance.substr(7));
        const bool is_cut =
            number == 0 && (faults.sends_lost || faults.answers_lost);
        const bool answered =
            !is_cut && (!sick.contains(instance) || faults.health_lies);
        Apply(number, owners_[number].detector->OnProbe(probe->instance,
                                                        answered, now_));
      }
    }
  }

  void Append(int number, const std::string& bytes) {
    ++appended_;
    const bool is_cut = number == 0 && faults.sends_lost;
    if (faults.log_away || is_cut || random_.Unit() < faults.loss) {
      return;
    }
    log_.emplace_back(bytes, Wall());
    if (faults.duplicates) {
      log_.emplace_back(bytes, Wall());
    }
  }

  void CheckFloor() {
    std::set<std::string> ejected;
    for (const owner& process : owners_) {
      for (const state_change& current : process.detector->States()) {
        if (current.state == instance_state::kEjected ||
            current.state == instance_state::kProbation) {
          ejected.insert(current.instance);
        }
      }
    }
    int healthy = 0;
    int all = 0;
    for (const host& entry : list_) {
      const bool live = entry.state == host_state::kLive;
      all += live ? kSlots : 0;
      healthy += live && !ejected.contains(entry.id) ? kSlots : 0;
    }
    if (!ejected.empty() && healthy < std::min(all, kFloor)) {
      failure_ = "floor broken at " + std::to_string(now_.count()) + " ms";
    }
  }

  random_bits random_;
  millis now_{1'000};
  owner owners_[2];
  std::vector<host> list_;
  std::vector<host> first_list_;
  std::vector<std::pair<std::string, millis>> log_;
  std::vector<pending_outcome> pending_outcomes_;
  uint64_t attempts_ = 0;
  uint64_t processes_ = 0;
  size_t appended_ = 0;
  std::string failure_;
};

}  // namespace peridotarch

#endif  // TESTS_DETECTION_SHARD_WORLD_H_
