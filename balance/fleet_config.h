#ifndef BALANCE_FLEET_CONFIG_H_
#define BALANCE_FLEET_CONFIG_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_order.h"
#include "core/millis.h"
#include "core/store_count.h"
#include "teams/team.h"

namespace peridotarch {

/// One destination of a route and its share of the route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// A route serves the requests for one host below one path prefix.
struct host_route {
  std::string name;
  std::string host;    ///< Lower case, without a port.
  std::string prefix;  ///< Begins and ends with a slash.
  bool idempotent = false;
  bool is_open = false;      ///< Needs no key where teams are configured.
  millis timeout;            ///< Longest time a caller waits.
  millis latency_objective;  ///< An answer within it has full value.
  int priority = 0;          ///< 0 is the most urgent.
  int max_attempts = 1;      ///< Instances tried per request, at most.
  std::vector<weighted_service> services;  ///< At least one.
};

/// A service as the configuration describes it.
struct fleet_service {
  std::string name;
  int max_connections = 0;  ///< To one instance, from all nodes together.
};

/// Limits on the size and the slowness of a caller's requests.
struct caller_limits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  millis header_timeout = millis(5'000);
  millis idle_timeout = millis(60'000);
};

/// A complete configuration. Its version only increases.
struct fleet_config {
  config_version version;
  std::vector<host_route> routes;
  std::vector<fleet_service> services;
  /// None: requests need no key. Empty: no key is valid.
  std::optional<std::vector<team>> teams;
  caller_limits limits;
  admission_mode admission = admission_mode::kPriority;
};

}  // namespace peridotarch

#endif  // BALANCE_FLEET_CONFIG_H_
