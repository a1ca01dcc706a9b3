#ifndef TESTS_MEASURE_PLAIN_BASELINE_H_
#define TESTS_MEASURE_PLAIN_BASELINE_H_

#include <algorithm>
#include <vector>

#include "core/random.h"
#include "service_sim.h"

namespace peridotarch::measure {

/// What is usual without coordination: each node alone ejects an instance after
/// five failures in a row for a time that grows, up to a share of them.
class plain_baseline {
 public:
  plain_baseline(const service_size& size, uint64_t seed)
      : size_(size),
        random_(seed),
        views_(size.nodes, std::vector<view>(size.instances)) {}

  int Pick(int node, uint32_t /*route*/, const std::vector<int>& busy,
           int64_t now) {
    std::vector<int> free;
    for (int i = 0; i < size_.instances; ++i) {
      if (views_[node][i].out_until <= now && busy[i] < size_.slots) {
        free.push_back(i);
      }
    }
    return free.empty() ? -1 : free[random_.Below(free.size())];
  }

  void OnStart(const attempt& /*started*/, int64_t now) { now_ = now; }

  void OnEnd(const attempt& ended, const outcome& how, int64_t now) {
    now_ = now;
    view& seen = views_[ended.node][ended.instance];
    if (how.kind == outcome_kind::kOk) {
      seen.failures = 0;
      return;
    }
    if (++seen.failures < kFailures || seen.out_until > now) {
      return;
    }
    seen.failures = 0;
    const auto out =
        std::count_if(views_[ended.node].begin(), views_[ended.node].end(),
                      [&](const view& each) { return each.out_until > now; });
    const int most = std::max(1, size_.instances * kMostPercent / 100);
    if (out >= most) {
      return;
    }
    ++seen.times;
    ++ejections_[ended.instance % kInstancesMost];
    seen.out_until = now + std::min(kBaseEjection * seen.times, kMostEjection);
  }

  void Tick(int64_t now) { now_ = now; }

  /// Nine in ten nodes have ejected it.
  [[nodiscard]] bool Detected(int instance) const {
    int out = 0;
    for (const auto& view : views_) {
      out += view[instance].out_until > now_ ? 1 : 0;
    }
    return out * 10 >= size_.nodes * 9;
  }

  /// The first node has ejected it.
  [[nodiscard]] bool DetectedByFirst(int instance) const {
    return views_[0][instance].out_until > now_;
  }

  /// Ejections of instances but for `victim`, each as one node's share.
  [[nodiscard]] double Ejections(int victim) const {
    double sum = 0;
    for (int i = 0; i < size_.instances; ++i) {
      sum += i == victim ? 0 : ejections_[i];
    }
    return sum / size_.nodes;
  }

 private:
  static constexpr int kFailures = 5;
  static constexpr int kMostPercent = 10;
  static constexpr int64_t kBaseEjection = 30 * kSecond;
  static constexpr int64_t kMostEjection = 300 * kSecond;
  static constexpr int kInstancesMost = 64;

  struct view {
    int failures = 0;
    int times = 0;
    int64_t out_until = 0;
  };

  const service_size size_;
  random_bits random_;
  std::vector<std::vector<view>> views_;
  std::array<double, kInstancesMost> ejections_{};
  int64_t now_ = 0;
};

}  // namespace peridotarch::measure

#endif  // TESTS_MEASURE_PLAIN_BASELINE_H_
