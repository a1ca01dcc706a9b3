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

// Hashes the decisions of a detector. Its records are read back at once.
uint64_t HashActions(uint64_t hash, outlier_detector& detector, millis wall,
                     const detector_actions& actions) {
  for (const detector_action& action : actions) {
    hash = Hash64(std::to_string(action.index()), hash);
    if (const auto* change = std::get_if<state_change>(&action)) {
      hash = Hash64(change->instance, hash);
      hash = Hash64(ToName(change->state), hash);
    } else if (const auto* append = std::get_if<ledger_append>(&action)) {
      hash = Hash64(append->bytes, hash);
      detector.OnEjectionRecord(append->bytes, wall);
    }
  }
  return hash;
}

// For a while instance 1 fails half of its work and instance 2 is slow.
outcome DrawOutcome(random_bits& random, uint64_t instance, int64_t step) {
  outcome ended;
  ended.route = static_cast<uint32_t>(random.Below(4));
  ended.latency_us = 5'000 + static_cast<int64_t>(random.Below(20'000));
  const bool is_faulty_time = step > kSteps / 4 && step < kSteps / 2;
  if (is_faulty_time && instance == 1 && random.Below(2) == 0) {
    ended.kind = outcome_kind::kError;
  }
  ended.latency_us *= is_faulty_time && instance == 2 ? 10 : 1;
  return ended;
}

uint64_t BenchDetector(uint64_t seed) {
  random_bits random(seed);
  outlier_detector detector({"node", 1, "service", 0});
  service_rule rule;
  rule.name = "service";
  rule.floor = 16;
  rule.slots_per_instance = 4;
  rule.weigh = seed % 2 == 0 ? ejection_tradeoff::kDetectionTime
                             : ejection_tradeoff::kFalseEjections;
  detector.SetService(rule, 1);
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
  detector.SetLogAway(false);
  millis now(1'000);
  uint64_t hash = HashActions(seed, detector, kWallStart,
                              detector.SetInstances(hosts, own, now));
  for (int64_t step = 0; step < kSteps; ++step) {
    now += kStep;
    const millis wall = now + kWallStart;
    const uint64_t instance = random.Below(kInstances);
    const auto attempt = static_cast<uint64_t>(step) + 1;
    const outcome ended = DrawOutcome(random, instance, step);
    detector.OnStart(InstanceId(instance), attempt, ended.route, now);
    hash = HashActions(
        hash, detector, wall,
        detector.OnOutcome(InstanceId(instance), attempt, ended, now));
    hash = HashActions(hash, detector, wall, detector.Tick(now, wall));
  }
  return hash;
}

struct packet {
  millis arrives_at;
  size_t to = 0;
  gossip_message message;
};

// Nodes on a lossy network. One of them stops halfway.
uint64_t BenchMembership(uint64_t seed) {
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
    for (outgoing_gossip& sent : actions) {
      if (random.Below(20) != 0) {
        packets.push_back(
            {now + kStep, std::stoul(sent.address), std::move(sent.message)});
      }
    }
  };
  uint64_t hash = seed;
  for (int64_t step = 0; step < kSteps; ++step) {
    now += kStep;
    const size_t running = step > kSteps / 2 ? kNodes - 1 : kNodes;
    std::vector<packet> due;
    std::swap(due, packets);
    for (const packet& arrived : due) {
      if (arrived.to < running) {
        send(nodes[arrived.to].OnMessage(arrived.message, now));
      }
    }
    for (size_t i = 0; i < running; ++i) {
      if (step == 0) {
        send(nodes[i].SetSeeds(seeds, now));
      }
      send(nodes[i].Tick(now));
      for (const member_change& change : nodes[i].TakeChanges()) {
        hash = Hash64(change.id, hash);
        hash = Hash64(ToName(change.event), hash);
      }
    }
  }
  return hash;
}

}  // namespace

uint64_t BenchDetection(uint64_t seed) {
  uint64_t hash = 0;
  for (uint64_t i = 0; i < 4; ++i) {
    hash ^= BenchDetector(seed + i) + BenchMembership(seed + i);
    hash = Hash64(std::to_string(hash));
  }
  return hash;
}

}  // namespace peridotarch
