#ifndef REQUEST_SHARD_MAP_H_
#define REQUEST_SHARD_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace peridotarch {

/// Slots of a service's floor for each shard.
inline constexpr int kFloorSlotsPerShard = 24;

/// A proxy as a candidate to own shards.
struct node_view {
  std::string id;
  std::string zone;
  uint64_t incarnation = 0;
  bool eligible = true;  ///< False while the node is leaving or doubts itself.
};

/// Returns the number of shards of a service with this floor; at least 1.
int ShardCount(int floor_slots);

/// Returns the shard, in [0, count), that an instance of a service belongs to.
int ShardOfInstance(std::string_view service, std::string_view instance,
                    int count);

/// Returns the shard, in [0, count), to which a request with this key goes.
int ShardOfKey(std::string_view key, int count);

/// Returns the node that owns the shard, or null when none is eligible.
const node_view* OwnerOf(std::string_view service, int shard,
                         std::span<const node_view> nodes);

}  // namespace peridotarch

#endif  // REQUEST_SHARD_MAP_H_
