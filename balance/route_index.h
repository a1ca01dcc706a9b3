#ifndef BALANCE_ROUTE_INDEX_H_
#define BALANCE_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "balance/fleet_config.h"
#include "teams/team_directory.h"

namespace peridotarch {

/// Finds the routes of a configuration by host and longest path prefix, and its
/// teams by their keys. Immutable.
class route_index {
 public:
  explicit route_index(fleet_config config);
  // The directory of teams refers to the configuration.
  route_index(const route_index&) = delete;
  route_index& operator=(const route_index&) = delete;

  /// Returns the route of a request, or nullptr if none matches. `host` may
  /// have a port and upper-case letters, `target` a query.
  [[nodiscard]] const host_route* Find(std::string_view host,
                                       std::string_view target) const;
  [[nodiscard]] const fleet_config& config() const { return config_; }
  [[nodiscard]] const team_directory& teams() const { return teams_; }

 private:
  const fleet_config config_;
  const team_directory teams_;
  std::unordered_map<std::string, const host_route*> by_prefix_;
  size_t longest_prefix_ = 0;  ///< Of all routes, in bytes.
};

/// Returns the service for a uniform random `draw` in [0, 1), in proportion to
/// the weights.
const std::string& PickService(const host_route& route, double draw);

}  // namespace peridotarch

#endif  // BALANCE_ROUTE_INDEX_H_
