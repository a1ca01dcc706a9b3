// Prints how the owner's scheduler, claims, team limits and the shard map fare
// under load, in virtual time: request_load [SEED].

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>

#include "load_sim.h"
#include "request/claimer.h"
#include "request/shard_map.h"
#include "request/team_limit.h"
#include "tests/request/fake_log.h"

namespace peridotarch {
namespace {

int At(const std::vector<int>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(share * last)];
}

enum class policy_kind { kLocal, kPlainQueue, kOwner, kTwoOwners };

const char* NameOf(policy_kind kind) {
  switch (kind) {
    case policy_kind::kLocal:
      return "local limits";
    case policy_kind::kPlainQueue:
      return "owner, plain queue";
    case policy_kind::kOwner:
      return "owner, early shed";
    case policy_kind::kTwoOwners:
      return "two owners at once";
  }
  return "";
}

load_result Run(policy_kind kind, const load_plan& plan, uint64_t seed) {
  random_bits random(seed);
  fake_service service(plan, random);
  if (kind == policy_kind::kLocal) {
    local_policy policy(plan, random);
    return RunLoad(plan, policy, service, random);
  }
  queue_limits limits;
  if (kind == policy_kind::kPlainQueue) {
    limits.max_per_slot = 1'000;
    limits.overload_after = millis(1'000'000);
  }
  owner_policy policy(plan, kind == policy_kind::kTwoOwners ? 2 : 1, limits);
  return RunLoad(plan, policy, service, random);
}

// Milliseconds after the spike's end until goodput stays at 95% of what is
// offered for a second.
int RecoveryMs(const load_plan& plan, const load_result& result) {
  const double per_100ms =
      plan.load * plan.instances * plan.slots * 100 / plan.service_ms;
  for (size_t from = 150; from + 10 <= result.good_per_100ms.size(); ++from) {
    int good = 0;
    for (size_t i = 0; i < 10; ++i) {
      good += result.good_per_100ms[from + i];
    }
    if (good >= per_100ms * 10 * 0.95) {
      return static_cast<int>(from - 150) * 100;
    }
  }
  return -1;
}

void PrintLoads(uint64_t seed) {
  std::printf(
      "\n36 nodes, 6 instances x 3 slots, service time 50 ms "
      "(exponential), deadline 1 s, 30 s\n");
  std::printf("%-20s %5s %8s %8s %8s %9s %8s %8s\n", "policy", "load",
              "offered", "good", "refused", "overrun", "wait50", "wait99");
  for (const double load : {0.6, 0.95, 1.5}) {
    for (const auto kind : {policy_kind::kLocal, policy_kind::kPlainQueue,
                            policy_kind::kOwner, policy_kind::kTwoOwners}) {
      load_plan plan;
      plan.load = load;
      const load_result result = Run(kind, plan, seed);
      std::printf("%-20s %4.0f%% %8d %8d %8d %9d %5d ms %5d ms\n", NameOf(kind),
                  load * 100, result.offered, result.good, result.refused,
                  result.overrun, At(result.waits, 0.5),
                  At(result.waits, 0.99));
    }
  }
}

void PrintSpike(uint64_t seed) {
  std::printf(
      "\nspike to 300%% for 5 s at 60%% load, callers send a refused "
      "request twice more at once\n");
  std::printf("%-20s %8s %8s %8s %12s\n", "policy", "offered", "good",
              "refused", "recovery");
  for (const auto kind :
       {policy_kind::kLocal, policy_kind::kPlainQueue, policy_kind::kOwner}) {
    load_plan plan;
    plan.spike = 3;
    plan.caller_retries = 2;
    const load_result result = Run(kind, plan, seed);
    std::printf("%-20s %8d %8d %8d %9d ms\n", NameOf(kind), result.offered,
                result.good, result.refused, RecoveryMs(plan, result));
  }
}

// A log that takes 2 ms for an append and 2 ms for a read.
void PrintClaims() {
  constexpr int64_t kEpoch = 1'800'000'000'000;
  std::printf(
      "\nclaims of one owner for 10 s, log 2 ms an append and a read\n");
  std::printf("%8s %10s %8s %8s\n", "keys/s", "appends/s", "p50", "p99");
  for (const int rate : {10, 100, 1'000, 5'000}) {
    fake_log log;
    claimer who(1, key_window());
    std::map<uint64_t, millis> began;
    std::vector<int> spent;
    std::multimap<millis, std::string> landing;
    int appends = 0;
    double due = 0;
    int keys = 0;
    for (millis now{0}; now < millis(10'000); now += millis(1)) {
      const millis wall = now + millis(kEpoch);
      for (due += rate / 1000.0; due >= 1; due -= 1) {
        const std::string text = std::to_string(wall.count()) + "-key" +
                                 std::to_string(100'000 + keys++);
        const auto id = who.Submit(*ParseRequestKey("s", text),
                                   now + millis(1'000), now, wall);
        began[id] = now;
      }
      while (!landing.empty() && landing.begin()->first <= now) {
        log.Append(landing.begin()->second, wall);
        landing.erase(landing.begin());
        who.OnAppendEnded();
      }
      if (now.count() % 2 == 0) {
        who.Read(log.Read(who.position()), now, wall);
      }
      const claimer_actions step = who.Tick(now, wall);
      if (step.append) {
        ++appends;
        landing.emplace(now + millis(2), *step.append);
      }
      for (const claim_outcome& outcome : step.outcomes) {
        spent.push_back(
            static_cast<int>((now - began[outcome.submission]).count()));
        if (outcome.won) {
          who.Complete(outcome.submission, 201);
        }
      }
    }
    std::sort(spent.begin(), spent.end());
    std::printf("%8d %10.1f %5d ms %5d ms\n", rate, appends / 10.0,
                At(spent, 0.5), At(spent, 0.99));
  }
}

// One team, 200/s, 60 s at three times its rate, spread unevenly.
void PrintTeams(uint64_t seed) {
  constexpr int kNodes = 36;
  constexpr int kRate = 200;
  constexpr int kBurst = 100;
  constexpr int kSeconds = 60;
  std::printf(
      "\nteam limit 200/s burst 100 over 36 nodes, offered 600/s for "
      "60 s\n");
  std::printf("%-16s %-22s %10s %9s\n", "shares", "callers reach", "admitted",
              "entitled");
  for (const bool by_demand : {false, true}) {
    for (const int reached : {36, 4, 1}) {
      random_bits random(seed);
      std::vector<std::unique_ptr<team_bucket>> nodes;
      for (int i = 0; i < kNodes; ++i) {
        nodes.push_back(std::make_unique<team_bucket>(kRate, kBurst));
        nodes.back()->SetShare(EqualShare(kNodes), millis());
      }
      int admitted = 0;
      for (int ms = 0; ms < kSeconds * 1'000; ++ms) {
        if (random.Unit() < 0.6) {
          const size_t at = random.Below(static_cast<uint64_t>(reached));
          admitted += nodes[at]->Charge(millis(ms)) ? 1 : 0;
        }
        if (by_demand && ms % 1'000 == 999) {
          std::vector<uint64_t> demand;
          for (const auto& node : nodes) {
            demand.push_back(node->TakeDemand());
          }
          const auto shares = DivideByDemand(demand);
          for (size_t i = 0; i < nodes.size(); ++i) {
            nodes[i]->SetShare(shares[i], millis(ms));
          }
        }
      }
      std::printf("%-16s %2d of %d nodes %18d %9d\n",
                  by_demand ? "by demand" : "equal", reached, kNodes, admitted,
                  kRate * kSeconds + kBurst);
    }
  }
}

void PrintBalance() {
  std::printf("\nowners of 735 shards (150 services) over 800 nodes\n");
  std::vector<node_view> nodes;
  for (int i = 0; i < 800; ++i) {
    nodes.push_back({"n" + std::to_string(i), "z", 1, true});
  }
  std::map<std::string, int> owned;
  int shards = 0;
  for (int service = 0; service < 150; ++service) {
    for (int part = 0; part < ShardCount(118); ++part) {
      const std::string name = "s" + std::to_string(service);
      ++owned[OwnerOf(name, part, nodes)->id];
      ++shards;
    }
  }
  int most = 0;
  for (const auto& [id, count] : owned) {
    most = std::max(most, count);
  }
  std::printf("shards %d, nodes that own one %zu, mean a node %.2f, most %d\n",
              shards, owned.size(), shards / 800.0, most);
}

}  // namespace
}  // namespace peridotarch

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  peridotarch::PrintLoads(seed);
  peridotarch::PrintSpike(seed);
  peridotarch::PrintClaims();
  peridotarch::PrintTeams(seed);
  peridotarch::PrintBalance();
  return 0;
}
