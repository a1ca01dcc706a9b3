#include "request/shard_map.h"

#include <algorithm>

#include "core/hash.h"

namespace peridotarch {

namespace {

std::string ShardName(std::string_view service, int shard) {
  return std::string(service) + '/' + std::to_string(shard);
}

}  // namespace

int ShardCount(int floor_slots) {
  const int count =
      (floor_slots + kFloorSlotsPerShard - 1) / kFloorSlotsPerShard;
  return std::max(1, count);
}

// Rendezvous hashing, so that a change of the count moves only the instances
// whose shard was added or removed.
int ShardOfInstance(std::string_view service, std::string_view instance,
                    int count) {
  int best = 0;
  uint64_t best_score = 0;
  for (int shard = 0; shard < count; ++shard) {
    const uint64_t score = RendezvousScore(instance, ShardName(service, shard));
    if (shard == 0 || score > best_score) {
      best = shard;
      best_score = score;
    }
  }
  return best;
}

int ShardOfKey(std::string_view key, int count) {
  return static_cast<int>(Hash64(key) % static_cast<uint64_t>(count));
}

const node_view* OwnerOf(std::string_view service, int shard,
                         std::span<const node_view> nodes) {
  const std::string name = ShardName(service, shard);
  const node_view* best = nullptr;
  uint64_t best_score = 0;
  for (const node_view& node : nodes) {
    if (!node.eligible) {
      continue;
    }
    const uint64_t score = RendezvousScore(name, node.id);
    const bool better = best == nullptr || score > best_score ||
                        (score == best_score && node.id < best->id);
    if (better) {
      best = &node;
      best_score = score;
    }
  }
  return best;
}

}  // namespace peridotarch
