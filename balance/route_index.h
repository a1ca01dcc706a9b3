#ifndef BALANCE_ROUTE_INDEX_H_
#define BALANCE_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "balance/fleet_config.h"

namespace peridotarch {

/// Finds routes by host and longest path prefix. Immutable.
class route_index {
 public:
  explicit route_index(fleet_config config);

  /// Returns the route of a request, or nullptr if none matches. `host` may
  /// have a port and upper-case letters, `target` a query.
  [[nodiscard]] const host_route* Find(std::string_view host,
                                       std::string_view target) const;
  [[nodiscard]] const fleet_config& config() const { return config_; }

 private:
  const fleet_config config_;
  std::unordered_map<std::string, const host_route*> by_prefix_;
};

/// Returns the service for a uniform random `draw` in [0, 1), in proportion to
/// the weights.
const std::string& PickService(const host_route& route, double draw);

}  // namespace peridotarch

#endif  // BALANCE_ROUTE_INDEX_H_
