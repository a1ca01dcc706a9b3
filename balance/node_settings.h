#ifndef BALANCE_NODE_SETTINGS_H_
#define BALANCE_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "balance/fleet_retry_budget.h"
#include "core/host_port.h"
#include "core/millis.h"
#include "teams/limit_bounds.h"

namespace peridotarch {

/// Settings that a node serving callers gets when it starts.
struct node_settings {
  std::string node;   ///< Name of this machine, unique in the fleet.
  std::string zone;   ///< Availability zone.
  host_port callers;  ///< Listens for the callers' HTTP.
  host_port ready;    ///< The external balancer polls readiness here.
  host_port store;    ///< The platform's metadata store.
  host_port control;  ///< Serves the store's records to other nodes.
  std::vector<host_port> seeds;  ///< Control addresses of some nodes, some of
                                 ///< which may no longer exist.
  uint16_t peer_port = 0;        ///< UDP port of the load reports.
  std::string fleet_key;         ///< Keeps out load reports of other fleets.
  uint16_t metrics_port = 0;
  bool is_first_start = false;  ///< The whole fleet starts for the first time.
  millis shutdown_grace;        ///< Time from SIGTERM until the kill.
  retry_limits retries;         ///< Of the whole fleet.
  uint64_t answer_bytes = 32 << 20;   ///< Memory for bodies of answers.
  uint64_t memory_bytes = 256 << 20;  ///< Of the machine, for this process.
  uint64_t max_fds = 1 << 20;         ///< Descriptors that it may open.
  /// A request with a key runs only if the node's configuration was the newest
  /// one within this time; without a value that is not checked.
  std::optional<millis> max_config_age;
  limit_bounds team_limits;
};

}  // namespace peridotarch

#endif  // BALANCE_NODE_SETTINGS_H_
