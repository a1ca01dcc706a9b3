#include "proxy/fleet_view.h"

#include <utility>

#include "config/snapshot.h"
#include "proxy/peer.h"
#include "request/shard_map.h"

namespace peridotarch {

namespace {

std::shared_ptr<peer> PeerOf(const node_view& node, const peer_table& peers,
                             const std::string& self) {
  return node.id == self ? nullptr : peers.at(node.id);
}

std::shared_ptr<std::atomic<int>> LoadOf(const fleet_view& before,
                                         const std::string& service,
                                         size_t shard) {
  const auto known = before.services.find(service);
  if (known != before.services.end() && shard < known->second.size()) {
    return known->second[shard].load;
  }
  return std::make_shared<std::atomic<int>>(0);
}

}  // namespace

bool IsOwnedHere(const fleet_view& view, const std::string& service,
                 int shard) {
  const auto known = view.services.find(service);
  if (known == view.services.end() ||
      static_cast<size_t>(shard) >= known->second.size()) {
    return false;
  }
  const shard_route& route = known->second[static_cast<size_t>(shard)];
  return route.has_owner && !route.owner;
}

std::shared_ptr<const fleet_view> MakeFleetView(const config_snapshot& config,
                                                std::vector<node_view> nodes,
                                                const peer_table& peers,
                                                const std::string& self,
                                                const fleet_view& before) {
  auto view = std::make_shared<fleet_view>();
  for (const service_rule& service : config.rule_set.services) {
    auto& shards = view->services[service.name];
    const int count = ShardCount(service.floor);
    for (int index = 0; index < count; ++index) {
      shard_route route;
      route.load = LoadOf(before, service.name, static_cast<size_t>(index));
      const node_view* owner = OwnerOf(service.name, index, nodes);
      if (owner != nullptr) {
        route.has_owner = true;
        route.owner = PeerOf(*owner, peers, self);
        node_view& excluded = nodes[static_cast<size_t>(owner - nodes.data())];
        excluded.eligible = false;
        const node_view* second = OwnerOf(service.name, index, nodes);
        excluded.eligible = true;
        if (second != nullptr) {
          route.has_second = true;
          route.second = PeerOf(*second, peers, self);
        }
      }
      shards.push_back(std::move(route));
    }
  }
  return view;
}

}  // namespace peridotarch
