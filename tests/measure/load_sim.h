#ifndef TESTS_MEASURE_LOAD_SIM_H_
#define TESTS_MEASURE_LOAD_SIM_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/millis.h"
#include "core/random.h"
#include "request/shard.h"

namespace peridotarch {

/// The service under load, and how its callers behave.
struct load_plan {
  int nodes = 36;
  int instances = 6;
  int slots = 3;
  double service_ms = 50;  ///< Mean of an exponential service time.
  millis deadline = millis(1'000);
  double load = 0.6;  ///< Offered, as a share of the capacity.
  double spike = 0;   ///< Load between 10 s and 15 s; zero for no spike.
  millis length = millis(30'000);
  int caller_retries = 0;  ///< After a 503, at once.
};

/// What came of it.
struct load_result {
  int offered = 0;
  int good = 0;            ///< Answered within the deadline.
  int refused = 0;         ///< 503 to a caller.
  int overrun = 0;         ///< Requests that met a full instance.
  std::vector<int> waits;  ///< Milliseconds from arrival to start.
  std::vector<int> good_per_100ms;
};

/// The instances: each runs as many requests as it has slots and sheds others.
class fake_service {
 public:
  fake_service(const load_plan& plan, random_bits& random)
      : plan_(plan), random_(random), busy_(plan.instances) {}

  /// Starts a request that ends later; false when the instance is full.
  bool Start(int instance, uint64_t id, millis now) {
    int& busy = busy_[static_cast<size_t>(instance)];
    if (busy >= plan_.slots) {
      return false;
    }
    ++busy;
    const double spent = -plan_.service_ms * std::log(1 - random_.Unit());
    const auto held = std::max<int64_t>(1, std::llround(spent));
    ends_.emplace(now + millis(held), std::pair{instance, id});
    return true;
  }

  /// Returns the requests that end now.
  std::vector<uint64_t> Ended(millis now) {
    std::vector<uint64_t> ids;
    while (!ends_.empty() && ends_.begin()->first <= now) {
      --busy_[static_cast<size_t>(ends_.begin()->second.first)];
      ids.push_back(ends_.begin()->second.second);
      ends_.erase(ends_.begin());
    }
    return ids;
  }

 private:
  const load_plan& plan_;
  random_bits& random_;
  std::vector<int> busy_;
  std::multimap<millis, std::pair<int, uint64_t>> ends_;
};

/// A request of a caller.
struct load_call {
  millis arrived;
  int tries = 0;         ///< At instances.
  int caller_tries = 0;  ///< Submissions by the caller before this one.
};

/// Owners that schedule the service's slots. With several owners, each believes
/// that it is alone.
class owner_policy {
 public:
  owner_policy(const load_plan& plan, int owners, queue_limits limits)
      : owners_(static_cast<size_t>(owners), shard(limits)) {
    std::vector<instance_view> views;
    for (int i = 0; i < plan.instances; ++i) {
      views.push_back({std::to_string(i), "z", plan.slots,
                       instance_state::kOpen, millis()});
    }
    for (shard& owner : owners_) {
      owner.SetInstances(views, millis());
    }
  }

  void Add(uint64_t id, int node, millis deadline, millis now) {
    const size_t owner = static_cast<size_t>(node) % owners_.size();
    at_[id] = owner;
    owners_[owner].Admit(id, {deadline, "z", true, ""}, now);
  }
  void Ended(uint64_t id, millis now) { owners_[at_[id]].Release(id, now); }

  /// Calls `start(id, instance)` for grants, true when it started, and
  /// `refuse(id)` for refusals.
  template <typename Start, typename Refuse>
  void Step(millis now, millis deadline, Start start, Refuse refuse) {
    for (shard& owner : owners_) {
      for (const shard_action& done : owner.Tick(now)) {
        if (done.kind == shard_action::action::kRefuse) {
          refuse(done.id);
          continue;
        }
        if (start(done.id, std::stoi(done.instance))) {
          continue;
        }
        owner.Release(done.id, now);
        owner.NoteShed(done.instance, now);
        if (++shed_[done.id] > 2) {
          refuse(done.id);
        } else {
          owner.Admit(done.id, {deadline, "z", true, done.instance}, now);
        }
      }
    }
  }

 private:
  std::vector<shard> owners_;
  std::unordered_map<uint64_t, size_t> at_;
  std::unordered_map<uint64_t, int> shed_;
};

/// Every node alone: at most one request of its own at an instance, the less
/// used of two, three tries.
class local_policy {
 public:
  local_policy(const load_plan& plan, random_bits& random)
      : plan_(plan),
        random_(random),
        in_flight_(static_cast<size_t>(plan.nodes * plan.instances)) {}

  void Add(uint64_t id, int node, millis /*deadline*/, millis /*now*/) {
    waiting_.push_back({id, node, 0});
  }
  void Ended(uint64_t id, millis /*now*/) {
    --in_flight_[place_[id]];
    place_.erase(id);
  }

  template <typename Start, typename Refuse>
  void Step(millis /*now*/, millis /*deadline*/, Start start, Refuse refuse) {
    std::deque<attempt> again;
    while (!waiting_.empty()) {
      attempt next = waiting_.front();
      waiting_.pop_front();
      const int instance = Pick(next.node);
      const size_t place = Place(next.node, instance);
      if (in_flight_[place] == 0 && start(next.id, instance)) {
        ++in_flight_[place];
        place_[next.id] = place;
      } else if (++next.tries >= 3) {
        refuse(next.id);
      } else {
        again.push_back(next);
      }
    }
    waiting_.swap(again);
  }

 private:
  struct attempt {
    uint64_t id = 0;
    int node = 0;
    int tries = 0;
  };

  [[nodiscard]] size_t Place(int node, int instance) const {
    return static_cast<size_t>(node * plan_.instances + instance);
  }
  int Pick(int node) {
    const auto count = static_cast<uint64_t>(plan_.instances);
    const int first = static_cast<int>(random_.Below(count));
    const int second = static_cast<int>(random_.Below(count));
    const bool less =
        in_flight_[Place(node, second)] < in_flight_[Place(node, first)];
    return less ? second : first;
  }

  const load_plan& plan_;
  random_bits& random_;
  std::vector<int> in_flight_;
  std::unordered_map<uint64_t, size_t> place_;
  std::deque<attempt> waiting_;
};

/// Runs a policy in steps of one millisecond.
template <typename Policy>
load_result RunLoad(const load_plan& plan, Policy& policy,
                    fake_service& service, random_bits& random) {
  load_result result;
  const double capacity_per_ms = plan.instances * plan.slots / plan.service_ms;
  result.good_per_100ms.resize(static_cast<size_t>(plan.length.count() / 100));
  std::unordered_map<uint64_t, load_call> calls;
  std::vector<load_call> again;
  uint64_t next_id = 0;
  const auto add = [&](const load_call& call, millis now) {
    const uint64_t id = ++next_id;
    calls[id] = call;
    const int node =
        static_cast<int>(random.Below(static_cast<uint64_t>(plan.nodes)));
    policy.Add(id, node, call.arrived + plan.deadline, now);
  };
  for (millis now{0}; now < plan.length; now += millis(1)) {
    for (const uint64_t id : service.Ended(now)) {
      policy.Ended(id, now);
      const millis spent = now - calls[id].arrived;
      if (spent <= plan.deadline) {
        ++result.good;
        ++result.good_per_100ms[static_cast<size_t>(now.count() / 100)];
      }
      calls.erase(id);
    }
    const bool spiking = now >= millis(10'000) && now < millis(15'000);
    const double load = spiking && plan.spike > 0 ? plan.spike : plan.load;
    for (double due = load * capacity_per_ms; due > 0; due -= 1) {
      if (random.Unit() < due) {
        ++result.offered;
        add({now, 0, 0}, now);
      }
    }
    for (const load_call& call : std::exchange(again, {})) {
      add(call, now);
    }
    policy.Step(
        now, now + plan.deadline,
        [&](uint64_t id, int instance) {
          if (!service.Start(instance, id, now)) {
            ++result.overrun;
            return false;
          }
          const millis waited = now - calls[id].arrived;
          result.waits.push_back(static_cast<int>(waited.count()));
          return true;
        },
        [&](uint64_t id) {
          load_call call = calls[id];
          calls.erase(id);
          if (call.caller_tries < plan.caller_retries) {
            ++call.caller_tries;
            again.push_back(call);
          } else {
            ++result.refused;
          }
        });
  }
  std::sort(result.waits.begin(), result.waits.end());
  return result;
}

}  // namespace peridotarch

#endif  // TESTS_MEASURE_LOAD_SIM_H_
