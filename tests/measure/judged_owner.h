#ifndef TESTS_MEASURE_JUDGED_OWNER_H_
#define TESTS_MEASURE_JUDGED_OWNER_H_

#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "core/trial_pace.h"
#include "detection/outlier_detector.h"
#include "service_sim.h"

namespace peridotarch::measure {

/// The owner of a service's only shard, with a scheduler and a log that takes
/// 10 ms.
class judged_owner {
 public:
  /// Says whether a probe from a node to an instance is answered now.
  using prober = std::function<bool(int node, int instance, int64_t now)>;

  judged_owner(const service_size& size, prober probe)
      : size_(size),
        probe_(std::move(probe)),
        judge_({"owner", 1, size.name, 0}),
        states_(size.instances, instance_state::kOpen),
        trickled_(size.instances, 0),
        ejections_(size.instances, 0),
        suspicions_(size.instances, 0) {
    service_rule rule;
    rule.name = size.name;
    rule.floor = size.floor;
    rule.slots_per_instance = size.slots;
    rule.weigh = size.weigh;
    judge_.SetService(rule, 1);
    std::vector<host> hosts;
    std::vector<std::string> own;
    for (int i = 0; i < size.instances; ++i) {
      host entry;
      entry.service = size.name;
      entry.id = Name(i);
      entry.zone = "zone-" + std::to_string(i % size.zones);
      entry.incarnation = 1;
      hosts.push_back(entry);
      own.push_back(entry.id);
    }
    Apply(judge_.SetInstances(hosts, own, millis(0)), 0);
    Apply(judge_.SetLogAway(false), 0);
  }

  int Pick(int /*node*/, uint32_t /*route*/, const std::vector<int>& busy,
           int64_t now) {
    const int trickle = PickTrickle(busy, now);
    if (trickle >= 0) {
      return trickle;
    }
    for (const bool last : {false, true}) {
      int best = -1;
      for (int k = 0; k < size_.instances; ++k) {
        const int i = (k + turn_) % size_.instances;
        const bool fits = last ? states_[i] == instance_state::kSuspect
                               : states_[i] == instance_state::kOpen ||
                                     states_[i] == instance_state::kCold;
        if (fits && busy[i] < size_.slots &&
            (best < 0 || busy[i] < busy[best])) {
          best = i;
        }
      }
      if (best >= 0) {
        turn_ = (turn_ + 1) % size_.instances;
        return best;
      }
    }
    return -1;
  }

  void OnStart(const attempt& started, int64_t now) {
    judge_.OnStart(names_[started.instance], started.number, started.route,
                   millis(now / 1000));
  }

  void OnEnd(const attempt& ended, const outcome& how, int64_t now) {
    Apply(judge_.OnOutcome(names_[ended.instance], ended.number, how,
                           millis(now / 1000)),
          now);
  }

  void Tick(int64_t now) {
    now_ = now;
    while (!later_.empty() && later_.front().first <= now) {
      const auto act = std::move(later_.front().second);
      later_.erase(later_.begin());
      act(now);
    }
    Apply(judge_.Tick(millis(now / 1000), Wall(now)), now);
  }

  /// It gets work last or none.
  [[nodiscard]] bool Detected(int instance) const {
    return states_[instance] != instance_state::kOpen &&
           states_[instance] != instance_state::kCold;
  }

  [[nodiscard]] bool Ejected(int instance) const {
    return ejections_[instance] > 0;
  }

  [[nodiscard]] double Ejections(int victim) const {
    return SumBut(ejections_, victim);
  }
  [[nodiscard]] double Suspicions(int victim) const {
    return SumBut(suspicions_, victim);
  }
  [[nodiscard]] const outlier_detector& judged() const { return judge_; }

  /// Every node's work comes through this owner, so the first node's link is
  /// the owner's.
  static constexpr bool kOneNode = true;

 private:
  static constexpr int64_t kLogUs = 10'000;
  static constexpr int64_t kProbeUs = 25'000;
  static constexpr int64_t kSilenceUs = 250'000;

  static std::string Name(int i) { return "instance-" + std::to_string(i); }
  static millis Wall(int64_t now) {
    return millis(1'700'000'000'000 + now / 1000);
  }

  static double SumBut(const std::vector<double>& values, int victim) {
    double sum = 0;
    for (size_t i = 0; i < values.size(); ++i) {
      sum += static_cast<int>(i) == victim ? 0 : values[i];
    }
    return sum;
  }

  int PickTrickle(const std::vector<int>& busy, int64_t now) {
    for (int i = 0; i < size_.instances; ++i) {
      const bool due = states_[i] == instance_state::kSuspect ||
                       states_[i] == instance_state::kProbation;
      if (due && busy[i] == 0 &&
          now - trickled_[i] >= TrialInterval(states_[i]).count() * 1000) {
        trickled_[i] = now;
        return i;
      }
    }
    return -1;
  }

  void Later(int64_t at, std::function<void(int64_t)> act) {
    auto it = later_.begin();
    while (it != later_.end() && it->first <= at) {
      ++it;
    }
    later_.insert(it, {at, std::move(act)});
  }

  int IndexOf(const std::string& id) const {
    return std::stoi(id.substr(sizeof("instance-") - 1));
  }

  void Apply(detector_actions actions, int64_t now) {
    for (detector_action& each : actions) {
      if (auto* change = std::get_if<state_change>(&each)) {
        const int i = IndexOf(change->instance);
        if (change->state == instance_state::kEjected &&
            states_[i] != instance_state::kProbation) {
          ++ejections_[i];
        }
        suspicions_[i] += change->state == instance_state::kSuspect ? 1 : 0;
        states_[i] = change->state;
      } else if (auto* append = std::get_if<ledger_append>(&each)) {
        Later(now + kLogUs, [this, bytes = append->bytes](int64_t at) {
          judge_.OnEjectionRecord(bytes, Wall(at));
        });
      } else if (auto* ask = std::get_if<probe_request>(&each)) {
        const int i = IndexOf(ask->instance);
        const bool answered = probe_(0, i, now);
        Later(now + (answered ? kProbeUs : kSilenceUs), [this, i,
                                                         answered](int64_t at) {
          Apply(judge_.OnProbe(names_[i], answered, millis(at / 1000)), at);
        });
      } else if (auto* opinion = std::get_if<opinion_request>(&each)) {
        for (int node = 1; node <= 3; ++node) {
          opinion_note note = opinion->about;
          const int i = IndexOf(note.instance);
          note.reached = probe_(node, i, now);
          Later(now + (note.reached ? kProbeUs : kSilenceUs),
                [this, note](int64_t at) {
                  Apply(judge_.OnOpinion(note, millis(at / 1000)), at);
                });
        }
      }
    }
  }

  const service_size size_;
  const prober probe_;
  outlier_detector judge_;
  std::vector<std::string> names_ = [this] {
    std::vector<std::string> names;
    for (int i = 0; i < size_.instances; ++i) {
      names.push_back(Name(i));
    }
    return names;
  }();
  std::vector<instance_state> states_;
  std::vector<int64_t> trickled_;
  std::vector<double> ejections_;
  std::vector<double> suspicions_;
  std::vector<std::pair<int64_t, std::function<void(int64_t)>>> later_;
  int turn_ = 0;
  int64_t now_ = 0;
};

}  // namespace peridotarch::measure

#endif  // TESTS_MEASURE_JUDGED_OWNER_H_
