#ifndef BALANCE_NODE_SETTINGS_H_
#define BALANCE_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "balance/fleet_retry_budget.h"
#include "core/host_port.h"
#include "core/millis.h"

namespace peridotarch {

/// What a node that serves callers on the platform learns at its start.
struct node_settings {
  std::string node;   ///< Name of this machine, unique in the fleet.
  std::string zone;   ///< Availability zone.
  host_port callers;  ///< Callers' HTTP.
  host_port ready;    ///< The balancer asks here whether it is ready.
  host_port store;    ///< The platform's metadata store.
  host_port control;  ///< Other nodes read the store's records here.
  std::vector<host_port> seeds;  ///< Control addresses of some nodes, which
                                 ///< may be gone.
  uint16_t peer_port = 0;        ///< The fleet's load reports, UDP.
  std::string fleet_key;         ///< Keeps out other fleets' reports.
  uint16_t metrics_port = 0;
  millis shutdown_grace;  ///< From SIGTERM until the process is killed.
  retry_limits retries;   ///< For the whole fleet.
};

}  // namespace peridotarch

#endif  // BALANCE_NODE_SETTINGS_H_
