#ifndef CLI_FLEET_STATUS_H_
#define CLI_FLEET_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "inner/report.h"

namespace peridotarch {

/// A node that was asked and gave no report.
struct silent_node {
  std::string node;
  std::string failure;
};

/// One service, put together from the reports of its shards' owners.
struct service_summary {
  std::string name;
  int floor = 0;     ///< In slots.
  int capacity = 0;  ///< Healthy slots in the reported shards.
  int slots = 0;     ///< All slots in the reported shards.
  int busy = 0;
  int queued = 0;
  int shards = 0;               ///< Number of shards of the service.
  std::vector<int> unreported;  ///< Shards that no node reports as its own.
  std::vector<int> contested;   ///< Shards that two nodes report as theirs.
  std::vector<instance_status> instances;
};

/// Returns whether the service is known to be below its floor: every shard is
/// reported and the capacity falls short.
bool BelowFloor(const service_summary& service);

/// The fleet at one moment.
struct fleet_status {
  std::vector<node_status> nodes;
  std::vector<silent_node> silent;
  uint64_t newest_revision = 0;
  int nodes_behind = 0;  ///< Nodes with an older revision in force.
  std::vector<service_summary> services;
};

/// Puts the reports together. Of two reports on a shard the later one counts.
fleet_status MergeStatus(std::vector<node_status> nodes,
                         std::vector<silent_node> silent);

/// Renders as a table for a terminal.
std::string ToText(const fleet_status& fleet);

/// Renders as one JSON object.
std::string ToJson(const fleet_status& fleet);

}  // namespace peridotarch

#endif  // CLI_FLEET_STATUS_H_
