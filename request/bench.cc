#include "request/bench.h"

#include <map>
#include <string>
#include <vector>

#include "core/hash.h"
#include "core/random.h"
#include "request/attempt.h"
#include "request/claimer.h"
#include "request/retry_budget.h"
#include "request/shard.h"
#include "request/shard_map.h"
#include "request/team_limit.h"

namespace peridotarch {

namespace {

constexpr int kSteps = 20'000;
constexpr int64_t kEpochMs = 1'800'000'000'000;

/// Hashes numbers and names in the order in which they are added.
class decision_hash {
 public:
  void Add(uint64_t value) { Add(std::to_string(value)); }
  void Add(std::string_view text) { value_ = Hash64(text, value_); }
  [[nodiscard]] uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0;
};

// `max_held_ms` sets the load: the longest time for which an attempt holds its
// slot.
void RunShard(random_bits& random, uint64_t max_held_ms, decision_hash& out) {
  constexpr int kInstances = 6;
  std::vector<instance_view> views;
  views.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    views.push_back({"i" + std::to_string(i), "z" + std::to_string(i % 3), 3,
                     instance_state::kOpen, millis()});
  }
  shard owner;
  std::multimap<millis, ticket> release_times;
  millis now{1'000};
  for (ticket id = 1; id <= kSteps; ++id) {
    now += millis(static_cast<int64_t>(random.Below(6)));
    if (id % 100 == 1) {
      views[random.Below(views.size())].state =
          static_cast<instance_state>(random.Below(6));
      owner.SetInstances(views, now);
    }
    while (!release_times.empty() && release_times.begin()->first <= now) {
      owner.Release(release_times.begin()->second, now);
      release_times.erase(release_times.begin());
    }
    const auto time_left_ms = static_cast<int64_t>(50 + random.Below(500));
    owner.Admit(
        id, {now + millis(time_left_ms), "z0", random.Below(2) == 0, ""}, now);
    for (const shard_action& action : owner.Tick(now)) {
      out.Add(action.id);
      out.Add(ToName(action.why));
      out.Add(action.instance);
      if (action.kind == shard_action::action::kGrant) {
        const auto held_ms =
            static_cast<int64_t>(5 + random.Below(max_held_ms));
        release_times.emplace(now + millis(held_ms), action.id);
      }
    }
  }
}

// Two claimers contend for the same keys through one stream.
void RunClaims(random_bits& random, decision_hash& out) {
  claimer first(1, key_window());
  claimer second(2, key_window());
  std::vector<log_record> stream;
  const auto read = [&](claimer& who, millis now) {
    const auto from = static_cast<std::ptrdiff_t>(who.position());
    const log_page page{
        0, stream.size(), {stream.begin() + from, stream.end()}};
    who.Read(page, now, now + millis(kEpochMs));
  };
  for (int step = 0; step < kSteps / 10; ++step) {
    const millis now{step * 7};
    claimer& who = random.Below(2) == 0 ? first : second;
    if (random.Below(2) == 0) {
      const std::string text = std::to_string(kEpochMs + step / 10) + "-key" +
                               std::to_string(10'000 + step / 10);
      who.Submit(*ParseRequestKey("s", text), now + millis(500), now,
                 now + millis(kEpochMs));
    }
    const claimer_actions next = who.Tick(now, now + millis(kEpochMs));
    if (next.append) {
      stream.push_back({stream.size(), now + millis(kEpochMs), *next.append});
      who.OnAppendEnded();
    }
    for (const claim_outcome& outcome : next.outcomes) {
      out.Add(outcome.submission);
      out.Add(outcome.won ? "won" : ToName(outcome.why));
      if (outcome.won && random.Below(3) > 0) {
        who.Complete(outcome.submission, 201);
      } else if (outcome.won) {
        who.Release(outcome.submission, now);
      }
    }
    read(who, now);
  }
}

void RunLimits(random_bits& random, decision_hash& out) {
  team_bucket bucket(50, 20);
  retry_budget budget;
  uint64_t charged = 0;
  uint64_t retried = 0;
  for (int step = 0; step < kSteps; ++step) {
    charged += bucket.Charge(millis(step)) ? 1 : 0;
    budget.NoteRequest();
    retried += random.Below(4) == 0 && budget.TakeRetry() ? 1 : 0;
  }
  out.Add(charged);
  out.Add(retried);
}

void RunOwners(decision_hash& out) {
  constexpr int kNodes = 36;
  std::vector<node_view> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back({"n" + std::to_string(i), "z", 1, true});
  }
  for (int service = 0; service < 150; ++service) {
    const std::string name = "s" + std::to_string(service);
    for (int shard_index = 0; shard_index < ShardCount(service * 2);
         ++shard_index) {
      out.Add(OwnerOf(name, shard_index, nodes)->id);
    }
  }
}

}  // namespace

uint64_t BenchRequest(uint64_t seed) {
  random_bits random(seed);
  decision_hash out;
  constexpr uint64_t kLightLoadMs = 20;
  constexpr uint64_t kHeavyLoadMs = 80;
  RunShard(random, kLightLoadMs, out);
  RunShard(random, kHeavyLoadMs, out);
  RunClaims(random, out);
  RunLimits(random, out);
  RunOwners(out);
  return out.value();
}

}  // namespace peridotarch
