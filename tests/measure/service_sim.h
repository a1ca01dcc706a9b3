#ifndef TESTS_MEASURE_SERVICE_SIM_H_
#define TESTS_MEASURE_SERVICE_SIM_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <queue>
#include <string>
#include <vector>

#include "core/names.h"
#include "core/random.h"
#include "detection/evidence.h"
#include "platform/host.h"

namespace peridotarch::measure {

/// What is wrong, and with whom.
enum class fault_kind {
  kNone,
  kFailsWork,  ///< One fails all work and answers probes.
  kHalfFails,  ///< One fails half of its work.
  kSlow,       ///< One is ten times slower.
  kHangs,      ///< One accepts work and answers none; probes are answered.
  kCrash,      ///< One refuses connections.
  kOneRoute,   ///< One fails the route that makes a fifth of the work.
  kFlaps,      ///< One fails all work for 2 s of every 5 s.
  kOneWayCut,  ///< One cannot be reached from the first node; others can.
  kSlowZone,   ///< All of one zone are four times slower.
  kBadLink,    ///< The first node loses 60% of all answers.
  kCount,
};

inline constexpr std::array<std::string_view, 11> kFaultNames = {
    "none",      "fails work", "half fails",  "10x slow",  "hangs",   "crash",
    "one route", "flaps",      "one-way cut", "slow zone", "bad link"};

/// A service and its load.
struct service_size {
  std::string name;
  int instances = 6;
  int slots = 3;
  int zones = 3;
  int floor = 12;
  int nodes = 36;
  ejection_tradeoff weigh = ejection_tradeoff::kFalseEjections;
  double load = 0.5;  ///< Busy share of the slots.
};

/// Disturbances that are no instance's fault.
struct weather {
  double errors = 0.003;   ///< Share of work that fails anywhere.
  bool pauses = false;     ///< Each instance stops for 300 ms once a minute.
  bool bursts = false;     ///< Each 2 min, 30% of all work fails for 1 s.
  bool slowdowns = false;  ///< Each 3 min, all work takes thrice for 5 s.
  bool surges = false;     ///< Each 4 min, load is 1.3 of the slots for 3 s.
};

inline constexpr int64_t kSecond = 1'000'000;  ///< Simulated time is in us.
inline constexpr int64_t kMeanServiceUs = 25'000;
inline constexpr int64_t kTimeoutUs = 800'000;
inline constexpr uint32_t kBadRoute = 2;  ///< Routes 0 to 4 are equally used.

/// One attempt on its way.
struct attempt {
  uint64_t number = 0;
  int node = 0;
  int instance = 0;
  uint32_t route = 0;
  int64_t started = 0;
};

/// Discrete-event simulation of the instances of a service and of callers.
/// Policy decides where work goes:
///   int Pick(int node, uint32_t route, const std::vector<int>& busy, now)
///   void OnStart(const attempt&, now); void OnEnd(const attempt&, outcome,
///   now) void Tick(now); bool Detected(int instance); int Ejections();
template <typename Policy>
class service_sim {
 public:
  service_sim(const service_size& size, const weather& sky, fault_kind fault,
              int victim, int64_t onset, uint64_t seed)
      : size_(size),
        sky_(sky),
        fault_(fault),
        victim_(victim),
        onset_(onset),
        random_(seed),
        busy_(size.instances, 0) {}

  /// Runs until `end` or, with `stop_at_detection`, until the victim is
  /// detected. Returns the time of detection in us, or -1.
  int64_t Run(Policy& policy, int64_t end, bool stop_at_detection) {
    int64_t detected = -1;
    int64_t next_tick = 0;
    int64_t next_arrival = NextArrival(0);
    while (true) {
      const int64_t next_end =
          ends_.empty() ? std::numeric_limits<int64_t>::max() : ends_.top().at;
      const int64_t now = std::min({next_tick, next_arrival, next_end});
      if (now >= end) {
        return detected;
      }
      if (now == next_end) {
        const ending done = ends_.top();
        ends_.pop();
        --busy_[done.what.instance];
        policy.OnEnd(done.what, done.how, now);
      } else if (now == next_arrival) {
        next_arrival = NextArrival(now);
        Arrive(policy, now);
      } else {
        policy.Tick(now);
        next_tick = now + kTickUs;
      }
      if (detected < 0 && now >= onset_ && policy.Detected(victim_)) {
        detected = now;
        if (stop_at_detection) {
          return detected;
        }
      }
    }
  }

  [[nodiscard]] uint64_t refused() const { return refused_; }
  [[nodiscard]] uint64_t sent() const { return number_; }

  /// The zone of an instance.
  [[nodiscard]] int ZoneOf(int instance) const {
    return instance % size_.zones;
  }

  /// Whether a probe from the node to the instance is answered now.
  bool ProbeAnswered(int node, int instance, int64_t now) {
    if (now < onset_) {
      return true;
    }
    if (instance == victim_ && fault_ == fault_kind::kCrash) {
      return false;
    }
    if (instance == victim_ && node == 0 && fault_ == fault_kind::kOneWayCut) {
      return false;
    }
    return !(node == 0 && fault_ == fault_kind::kBadLink &&
             random_.Unit() < 0.6);
  }

 private:
  static constexpr int64_t kTickUs = 20'000;

  struct ending {
    int64_t at = 0;
    attempt what;
    outcome how;
    bool operator>(const ending& other) const { return at > other.at; }
  };

  int64_t NextArrival(int64_t now) {
    const bool surge = sky_.surges && now % (240 * kSecond) > 237 * kSecond;
    const double per_us = (surge ? 1.3 : size_.load) * size_.instances *
                          size_.slots / static_cast<double>(kMeanServiceUs);
    return now + 1 +
           static_cast<int64_t>(-std::log(1.0 - random_.Unit()) / per_us);
  }

  void Arrive(Policy& policy, int64_t now) {
    attempt next;
    next.node = static_cast<int>(random_.Below(size_.nodes));
    next.route = static_cast<uint32_t>(random_.Below(5));
    next.instance = policy.Pick(next.node, next.route, busy_, now);
    if (next.instance < 0) {
      ++refused_;
      return;
    }
    next.number = ++number_;
    next.started = now;
    ++busy_[next.instance];
    policy.OnStart(next, now);
    ends_.push(End(next, now));
  }

  ending End(const attempt& next, int64_t now) {
    double mean = static_cast<double>(kMeanServiceUs);
    double errors = sky_.errors;
    bool lost = false;
    bool refused = false;
    if (now >= onset_) {
      const bool victim = next.instance == victim_;
      const bool zone = ZoneOf(next.instance) == ZoneOf(victim_);
      const bool sick_phase = (now - onset_) % (5 * kSecond) < 2 * kSecond;
      const bool fails =
          fault_ == fault_kind::kFailsWork ||
          (fault_ == fault_kind::kOneRoute && next.route == kBadRoute) ||
          (fault_ == fault_kind::kFlaps && sick_phase);
      errors = victim && fails ? 1.0 : errors;
      errors = victim && fault_ == fault_kind::kHalfFails ? 0.5 : errors;
      mean *= victim && fault_ == fault_kind::kSlow ? 10 : 1;
      mean *= zone && fault_ == fault_kind::kSlowZone ? 4 : 1;
      lost = (victim && fault_ == fault_kind::kHangs) ||
             (victim && next.node == 0 && fault_ == fault_kind::kOneWayCut) ||
             (next.node == 0 && fault_ == fault_kind::kBadLink &&
              random_.Unit() < 0.6);
      refused = victim && fault_ == fault_kind::kCrash;
    }
    const bool burst = sky_.bursts && now % (120 * kSecond) > 119 * kSecond;
    const bool slow = sky_.slowdowns && now % (180 * kSecond) > 175 * kSecond;
    errors = burst ? std::max(errors, 0.3) : errors;
    mean *= slow ? 3 : 1;
    auto took = static_cast<int64_t>(-std::log(1.0 - random_.Unit()) * mean);
    took += 1'000 + Pause(next.instance, now);
    outcome how;
    how.route = next.route;
    if (refused) {
      how.kind = outcome_kind::kRefused;
      took = 1'000;
    } else if (lost || took >= kTimeoutUs) {
      how.kind = outcome_kind::kTimeout;
      took = kTimeoutUs;
    } else if (random_.Unit() < errors) {
      how.kind = outcome_kind::kError;
      took = std::min<int64_t>(took, 3'000);
    }
    how.latency_us = took;
    return {now + took, next, how};
  }

  // The rest of the pause that the instance is in, if it is in one.
  int64_t Pause(int instance, int64_t now) const {
    if (!sky_.pauses) {
      return 0;
    }
    const int64_t phase = (now + instance * 2'617'000LL) % (60 * kSecond);
    return phase < 300'000 ? 300'000 - phase : 0;
  }

  const service_size size_;
  const weather sky_;
  const fault_kind fault_;
  const int victim_;
  const int64_t onset_;
  random_bits random_;
  std::vector<int> busy_;
  std::priority_queue<ending, std::vector<ending>, std::greater<>> ends_;
  uint64_t number_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace peridotarch::measure

#endif  // TESTS_MEASURE_SERVICE_SIM_H_
