#include "inner/bench.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/fold.h"
#include "core/hash.h"
#include "core/hybrid_clock.h"
#include "core/random.h"
#include "inner/seal.h"

namespace peridotarch {

namespace {

constexpr millis kStart(1'700'000'000'000);

size_t Owner(const std::vector<std::string>& nodes, const std::string& key) {
  const auto best = std::max_element(
      nodes.begin(), nodes.end(),
      [&](const std::string& left, const std::string& right) {
        return RendezvousScore(key, left) < RendezvousScore(key, right);
      });
  return static_cast<size_t>(best - nodes.begin());
}

// 36 nodes own 200 keys while nodes are replaced one after the other.
void FoldOwnership(uint64_t seed, fold& into) {
  constexpr int kNodes = 36;
  constexpr int kKeys = 200;
  constexpr int kReplacements = 40;
  random_bits random(seed);
  std::vector<std::string> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back("node-" + std::to_string(i));
  }
  for (int i = 0; i < kReplacements; ++i) {
    nodes[random.Below(nodes.size())] = "new-" + std::to_string(i);
    for (int key = 0; key < kKeys; ++key) {
      into.Add(Owner(nodes, "key-" + std::to_string(key)));
    }
  }
}

// Messages of one sender arrive late, twice, changed or in another order.
void FoldReplay(uint64_t seed, fold& into) {
  constexpr int kMessages = 2000;
  constexpr millis kWindow(5000);
  random_bits random(seed);
  sealer seal("a fleet key of the bench", "node-1/1");
  unsealer open("a fleet key of the bench", kWindow);
  std::vector<std::string> sent;
  millis now = kStart;
  for (int i = 0; i < kMessages; ++i) {
    now += millis(static_cast<int64_t>(random.Below(100)));
    sent.push_back(seal.Seal(std::to_string(i), now));
    std::string message =
        sent[sent.size() - 1 - random.Below(std::min<size_t>(sent.size(), 80))];
    if (random.Below(16) == 0) {
      message[random.Below(message.size())] ^= 1;
    }
    std::string_view body;
    std::string_view sender;
    const seal_result result = open.Open(message, now, &body, &sender);
    into.Add(static_cast<uint64_t>(result));
    into.Add(body);
  }
}

// Three processes with clocks that differ and step back exchange times.
void FoldHybridTimes(uint64_t seed, fold& into) {
  constexpr int kSteps = 3000;
  random_bits random(seed);
  hybrid_clock clocks[3];
  hybrid_time last[3];
  for (int i = 0; i < kSteps; ++i) {
    const size_t at = random.Below(3);
    clocks[at].Observe(last[random.Below(3)]);
    const auto skew = static_cast<int64_t>(random.Below(40)) - 20;
    last[at] = clocks[at].Next(kStart + millis(i / 4 + skew));
    into.Add(static_cast<uint64_t>(last[at].wall.count()));
    into.Add(last[at].counter);
  }
}

}  // namespace

uint64_t BenchInner(uint64_t seed) {
  fold all;
  FoldOwnership(seed, all);
  FoldReplay(seed + 1, all);
  FoldHybridTimes(seed + 2, all);
  return all.value();
}

}  // namespace peridotarch
