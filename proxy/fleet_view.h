#ifndef PROXY_FLEET_VIEW_H_
#define PROXY_FLEET_VIEW_H_

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotarch {

class peer;
struct config_snapshot;
struct node_view;

/// Where requests for one shard go. A null peer is this node itself.
struct shard_route {
  bool has_owner = false;
  std::shared_ptr<peer> owner;
  bool has_second = false;
  std::shared_ptr<peer> second;  ///< When the owner cannot be reached.
  /// Load that the owner last reported, in thousandths of its slots.
  std::shared_ptr<std::atomic<int>> load;
};

/// The owners of all shards, by service. Immutable; replaced when the members
/// of the fleet or the services change.
struct fleet_view {
  std::unordered_map<std::string, std::vector<shard_route>> services;
};

/// Returns whether this node owns the shard.
bool IsOwnedHere(const fleet_view& view, const std::string& service, int shard);

/// Peers by node id.
using peer_table = std::unordered_map<std::string, std::shared_ptr<peer>>;

/// Computes the owners of the shards of every service in `config`. `self` is
/// this node's id; loads are taken over from `before`.
std::shared_ptr<const fleet_view> MakeFleetView(const config_snapshot& config,
                                                std::vector<node_view> nodes,
                                                const peer_table& peers,
                                                const std::string& self,
                                                const fleet_view& before);

}  // namespace peridotarch

#endif  // PROXY_FLEET_VIEW_H_
