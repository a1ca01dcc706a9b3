#include "cli/fleet_status.h"

#include <algorithm>
#include <map>
#include <utility>

namespace peridotarch {

namespace {

/// A shard and when its owner reported it.
struct dated_shard {
  hybrid_time at;
  const shard_status* shard = nullptr;
  bool contested = false;
};

using shards_by_number = std::map<int, dated_shard>;

// The configuration of the newest report holds for the number of shards: while
// a change spreads, an older report may name shards that no longer exist.
struct service_reports {
  hybrid_time newest;
  int shards = 0;
  int floor = 0;
  shards_by_number by_number;
};

void Take(service_reports& service, const shard_status& shard, hybrid_time at) {
  if (service.shards == 0 || at > service.newest) {
    service.newest = at;
    service.shards = shard.shards;
    service.floor = shard.floor;
  }
  const auto [entry, added] =
      service.by_number.try_emplace(shard.shard, dated_shard{at, &shard});
  if (added) {
    return;
  }
  entry->second.contested = true;
  if (at > entry->second.at) {
    entry->second.at = at;
    entry->second.shard = &shard;
  }
}

void AddShard(service_summary& summary, const dated_shard& reported) {
  summary.queued += reported.shard->queued;
  for (const instance_status& each : reported.shard->instances) {
    summary.slots += each.slots;
    summary.busy += each.busy;
    summary.capacity += CountsAsCapacity(each.state) ? each.slots : 0;
    summary.instances.push_back(each);
  }
}

service_summary Summarize(const std::string& name,
                          const service_reports& reports) {
  service_summary summary;
  summary.name = name;
  summary.floor = reports.floor;
  summary.shards = reports.shards;
  for (int number = 0; number < reports.shards; ++number) {
    const auto reported = reports.by_number.find(number);
    if (reported == reports.by_number.end()) {
      summary.unreported.push_back(number);
      continue;
    }
    if (reported->second.contested) {
      summary.contested.push_back(number);
    }
    AddShard(summary, reported->second);
  }
  std::sort(summary.instances.begin(), summary.instances.end(),
            [](const instance_status& left, const instance_status& right) {
              return left.id < right.id;
            });
  return summary;
}

}  // namespace

bool BelowFloor(const service_summary& service) {
  return service.unreported.empty() && service.capacity < service.floor;
}

fleet_status MergeStatus(std::vector<node_status> nodes,
                         std::vector<silent_node> silent) {
  fleet_status fleet;
  fleet.nodes = std::move(nodes);
  fleet.silent = std::move(silent);
  std::map<std::string, service_reports> services;
  for (const node_status& node : fleet.nodes) {
    fleet.newest_revision = std::max(fleet.newest_revision, node.revision);
    for (const shard_status& shard : node.shards) {
      Take(services[shard.service], shard, node.at);
    }
  }
  fleet.nodes_behind = static_cast<int>(std::count_if(
      fleet.nodes.begin(), fleet.nodes.end(), [&](const node_status& node) {
        return node.revision < fleet.newest_revision;
      }));
  for (const auto& [name, reports] : services) {
    fleet.services.push_back(Summarize(name, reports));
  }
  return fleet;
}

}  // namespace peridotarch
