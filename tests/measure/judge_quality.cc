// Measures detection time and false ejections of the judge against a plain
// baseline: judge_quality [RUNS [HOURS]].

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "core/invariant.h"
#include "judged_owner.h"
#include "plain_baseline.h"
#include "service_sim.h"

namespace peridotarch::measure {
namespace {

constexpr int64_t kOnset = 12 * kSecond;
constexpr int64_t kHorizon = 60 * kSecond;  ///< After the onset.
constexpr double kDaySeconds = 86'400;

const std::vector<service_size> kSizes = {
    {"accra-ledger", 20, 3, 3, 36, 36, ejection_tradeoff::kFalseEjections, 0.5},
    {"accra-payout", 6, 3, 3, 12, 36, ejection_tradeoff::kFalseEjections, 0.4},
    {"tamega-desk", 23, 4, 4, 56, 36, ejection_tradeoff::kDetectionTime, 0.6},
    {"tamega-field", 8, 4, 4, 20, 36, ejection_tradeoff::kDetectionTime, 0.5},
};

const std::vector<std::pair<std::string, weather>> kWeathers = {
    {"calm", {0.003, false, false, false, false}},
    {"pauses", {0.003, true, false, false, false}},
    {"bursts", {0.003, false, true, false, false}},
    {"slowdowns", {0.003, false, false, true, false}},
    {"surges", {0.003, false, false, false, true}},
    {"all of them", {0.005, true, true, true, true}},
};

struct samples {
  std::vector<double> seconds;
  int missed = 0;
  double ejections = 0;   ///< Of healthy instances.
  double suspicions = 0;  ///< Of healthy instances.
  double days = 0;        ///< Healthy instance-days.

  [[nodiscard]] std::string Quantile(double share) const {
    std::vector<double> sorted = seconds;
    std::sort(sorted.begin(), sorted.end());
    const auto at = static_cast<size_t>(
        share * (static_cast<double>(sorted.size()) + missed));
    if (at >= sorted.size()) {
      return ">" + std::to_string(kHorizon / kSecond);
    }
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", sorted[at]);
    return text;
  }
};

bool SeenFrom(const plain_baseline& nodes, fault_kind fault, int victim) {
  return fault == fault_kind::kOneWayCut ? nodes.DetectedByFirst(victim)
                                         : nodes.Detected(victim);
}

// The baseline's view of a one-way cut is that of the node that is cut off.
struct baseline_policy : plain_baseline {
  baseline_policy(const service_size& size, fault_kind kind, uint64_t seed)
      : plain_baseline(size, seed), fault(kind) {}
  [[nodiscard]] bool Detected(int victim) const {
    return SeenFrom(*this, fault, victim);
  }
  fault_kind fault;
};

double HealthyDays(const service_size& size, int64_t us, bool victim) {
  return (size.instances - (victim ? 1 : 0)) * static_cast<double>(us) /
         kSecond / kDaySeconds;
}

bool HasVictim(fault_kind fault) {
  return fault != fault_kind::kNone && fault != fault_kind::kSlowZone &&
         fault != fault_kind::kBadLink && fault != fault_kind::kOneWayCut;
}

void Note(samples& into, int64_t detected) {
  if (detected < 0) {
    ++into.missed;
  } else {
    into.seconds.push_back(static_cast<double>(detected - kOnset) / kSecond);
  }
}

samples RunBaseline(const service_size& size, const weather& sky,
                    fault_kind fault, int runs, int64_t end) {
  samples all;
  for (int run = 0; run < runs; ++run) {
    const int victim = run % size.instances;
    baseline_policy policy(size, fault, run + 1);
    service_sim<baseline_policy> sim(size, sky, fault, victim, kOnset,
                                     1000 + run);
    Note(all, sim.Run(policy, end, false));
    all.ejections += policy.Ejections(HasVictim(fault) ? victim : -1);
    all.days += HealthyDays(size, end, HasVictim(fault));
  }
  return all;
}

// All work goes through the owner, so for faults of the first node's links the
// owner is that node.
samples RunOurs(const service_size& size, const weather& sky, fault_kind fault,
                int runs, int64_t end, samples* ejected) {
  samples all;
  service_size owned = size;
  if (fault == fault_kind::kOneWayCut || fault == fault_kind::kBadLink) {
    owned.nodes = 1;
  }
  for (int run = 0; run < runs; ++run) {
    const int victim = run % size.instances;
    service_sim<judged_owner> sim(owned, sky, fault, victim, kOnset,
                                  1000 + run);
    judged_owner policy(owned, [&](int node, int instance, int64_t now) {
      return sim.ProbeAnswered(node, instance, now);
    });
    int64_t first = -1;
    struct watcher {
      judged_owner& inner;
      int victim;
      int64_t& first;
      int Pick(int n, uint32_t r, const std::vector<int>& b, int64_t t) {
        return inner.Pick(n, r, b, t);
      }
      void OnStart(const attempt& a, int64_t t) { inner.OnStart(a, t); }
      void OnEnd(const attempt& a, const outcome& o, int64_t t) {
        inner.OnEnd(a, o, t);
        Watch(t);
      }
      void Tick(int64_t t) {
        inner.Tick(t);
        Watch(t);
      }
      void Watch(int64_t t) {
        if (first < 0 && t >= kOnset && inner.Ejected(victim)) {
          first = t;
        }
      }
      [[nodiscard]] bool Detected(int v) const { return inner.Detected(v); }
    } watched{policy, victim, first};
    service_sim<watcher> watched_sim(owned, sky, fault, victim, kOnset,
                                     1000 + run);
    Note(all, watched_sim.Run(watched, end, false));
    Note(*ejected, first);
    const int but = HasVictim(fault) ? victim : -1;
    all.ejections += policy.Ejections(but);
    all.suspicions += policy.Suspicions(but);
    all.days += HealthyDays(size, end, HasVictim(fault));
  }
  return all;
}

void Compare(const service_size& size, const weather& sky, fault_kind fault,
             int runs, int64_t end, std::string_view name) {
  samples ejected;
  const samples ours = RunOurs(size, sky, fault, runs, end, &ejected);
  const samples plain = RunBaseline(size, sky, fault, runs, end);
  std::printf("%-13s %-12s | %6s %6s | %6s %6s | %6s %6s | %8.1f %8.1f %8.1f\n",
              size.name.c_str(), std::string(name).c_str(),
              ours.Quantile(0.5).c_str(), ours.Quantile(0.99).c_str(),
              ejected.Quantile(0.5).c_str(), ejected.Quantile(0.99).c_str(),
              plain.Quantile(0.5).c_str(), plain.Quantile(0.99).c_str(),
              ours.ejections / ours.days, plain.ejections / plain.days,
              ours.suspicions / ours.days);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : 40;
  const double hours = argc > 2 ? std::atof(argv[2]) : 1.0;
  SetBreachesFatal(false);
  std::printf(
      "seconds until an instance gets no regular work (p50, p99): ours, ours "
      "until ejected, baseline;\nfalse ejections per healthy instance-day: "
      "ours, baseline; ours: false suspicions\n");
  std::printf("%-13s %-12s | %13s | %13s | %13s | %26s\n", "service", "fault",
              "ours", "ejected", "baseline", "false ours/base/suspicions");
  weather calm;
  for (const service_size& size : kSizes) {
    for (int kind = 1; kind < static_cast<int>(fault_kind::kCount); ++kind) {
      Compare(size, calm, static_cast<fault_kind>(kind), runs,
              kOnset + kHorizon, kFaultNames[kind]);
    }
    const auto end = static_cast<int64_t>(hours * 3600) * kSecond;
    for (const auto& [name, sky] : kWeathers) {
      Compare(size, sky, fault_kind::kNone, 1, end, name);
    }
  }
  std::printf("floor breaches: %llu\n",
              static_cast<unsigned long long>(Breaches(invariant::kFloor)));
  return 0;
}

}  // namespace
}  // namespace peridotarch::measure

int main(int argc, char** argv) {
  return peridotarch::measure::Main(argc, argv);
}
