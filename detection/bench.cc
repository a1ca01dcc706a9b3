#include "detection/bench.h"

#include <string>
#include <vector>

#include "core/hash.h"
#include "core/random.h"
#include "detection/membership.h"
#include "detection/outlier_detector.h"

namespace peridotarch {

namespace {

constexpr int kInstances = 8;
constexpr int kNodes = 6;
constexpr int64_t kSteps = 3'000;
constexpr millis kStep(10);
constexpr millis kWallStart(1'700'000'000'000);

std::string InstanceId(uint64_t i) { return "instance-" + std::to_string(i); }

// Folds what a judge decides; its records come back from the log at once.
uint64_t FoldActions(uint64_t folded, outlier_detector& judged, millis wall,
                     const detector_actions& actions) {
  for (const detector_action& each : actions) {
    folded = Hash64(std::to_string(each.index()), folded);
    if (const auto* change = std::get_if<state_change>(&each)) {
      folded = Hash64(change->instance, folded);
      folded = Hash64(ToName(change->state), folded);
    } else if (const auto* append = std::get_if<ledger_append>(&each)) {
      folded = Hash64(append->bytes, folded);
      judged.OnEjectionRecord(append->bytes, wall);
    }
  }
  return folded;
}

// One instance fails half of its work for a while, another is slow.
outcome DrawOutcome(random_bits& random, uint64_t instance, int64_t step) {
  outcome how;
  how.route = static_cast<uint32_t>(random.Below(4));
  how.latency_us = 5'000 + static_cast<int64_t>(random.Below(20'000));
  const bool disturbed = step > kSteps / 4 && step < kSteps / 2;
  if (disturbed && instance == 1 && random.Below(2) == 0) {
    how.kind = outcome_kind::kError;
  }
  how.latency_us *= disturbed && instance == 2 ? 10 : 1;
  return how;
}

uint64_t BenchShard(uint64_t seed) {
  random_bits random(seed);
  outlier_detector judged({"node", 1, "service", 0});
  service_rule rule;
  rule.name = "service";
  rule.floor = 16;
  rule.slots_per_instance = 4;
  rule.weigh = seed % 2 == 0 ? ejection_tradeoff::kDetectionTime
                             : ejection_tradeoff::kFalseEjections;
  judged.SetService(rule, 1);
  std::vector<host> hosts;
  std::vector<std::string> own;
  for (uint64_t i = 0; i < kInstances; ++i) {
    host entry;
    entry.service = rule.name;
    entry.id = InstanceId(i);
    entry.zone = i % 2 == 0 ? "zone-a" : "zone-b";
    hosts.push_back(entry);
    own.push_back(entry.id);
  }
  judged.SetLogAway(false);
  millis now(1'000);
  uint64_t folded = FoldActions(seed, judged, kWallStart,
                                judged.SetInstances(hosts, own, now));
  for (int64_t step = 0; step < kSteps; ++step) {
    now += kStep;
    const millis wall = now + kWallStart;
    const uint64_t instance = random.Below(kInstances);
    const auto attempt = static_cast<uint64_t>(step) + 1;
    const outcome how = DrawOutcome(random, instance, step);
    judged.OnStart(InstanceId(instance), attempt, how.route, now);
    folded =
        FoldActions(folded, judged, wall,
                    judged.OnOutcome(InstanceId(instance), attempt, how, now));
    folded = FoldActions(folded, judged, wall, judged.Tick(now, wall));
  }
  return folded;
}

struct packet {
  millis at;
  size_t to = 0;
  gossip_message message;
};

// A few nodes with a lossy network, of which one falls silent.
uint64_t BenchMembers(uint64_t seed) {
  random_bits random(seed);
  std::vector<host> seeds;
  std::vector<membership> nodes;
  for (size_t i = 0; i < kNodes; ++i) {
    member_record self;
    self.id = "node-" + std::to_string(i);
    self.incarnation = 1;
    self.address = std::to_string(i);
    nodes.emplace_back(self, random());
    host entry;
    entry.service = std::string(kFleetService);
    entry.id = self.id;
    entry.address = self.address;
    seeds.push_back(entry);
  }
  std::vector<packet> packets;
  millis now(1'000);
  const auto send = [&](std::vector<outgoing_gossip> actions) {
    for (outgoing_gossip& each : actions) {
      if (random.Below(20) != 0) {
        packets.push_back(
            {now + kStep, std::stoul(each.address), std::move(each.message)});
      }
    }
  };
  uint64_t folded = seed;
  for (int64_t step = 0; step < kSteps; ++step) {
    now += kStep;
    const size_t running = step > kSteps / 2 ? kNodes - 1 : kNodes;
    std::vector<packet> due;
    std::swap(due, packets);
    for (const packet& each : due) {
      if (each.to < running) {
        send(nodes[each.to].OnMessage(each.message, now));
      }
    }
    for (size_t i = 0; i < running; ++i) {
      if (step == 0) {
        send(nodes[i].SetSeeds(seeds, now));
      }
      send(nodes[i].Tick(now));
      for (const member_change& change : nodes[i].TakeChanges()) {
        folded = Hash64(change.id, folded);
        folded = Hash64(ToName(change.what), folded);
      }
    }
  }
  return folded;
}

}  // namespace

uint64_t BenchDetection(uint64_t seed) {
  uint64_t folded = 0;
  for (uint64_t i = 0; i < 4; ++i) {
    folded ^= BenchShard(seed + i) + BenchMembers(seed + i);
    folded = Hash64(std::to_string(folded));
  }
  return folded;
}

}  // namespace peridotarch
