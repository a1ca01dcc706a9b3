#ifndef FRONT_TEAM_ACCESS_H_
#define FRONT_TEAM_ACCESS_H_

#include <memory>
#include <optional>
#include <string_view>

#include "front/front_node.h"
#include "request/reason.h"

namespace peridotarch {

/// The team of one request: whether it may run, and its count against the
/// team's limit. Does nothing where no team is configured.
class team_access {
 public:
  explicit team_access(front_node& node) : node_(node) {}

  /// Finds the team of a request on `route` with this key. Returns why the
  /// request is refused, or nullopt.
  std::optional<reason> Identify(std::shared_ptr<const route_index> routes,
                                 const host_route& route, std::string_view key);
  /// Counts the request against its team's limit. Returns why it is refused, or
  /// nullopt.
  std::optional<reason> Charge();
  /// Takes the count back, if there is one: no instance has run the request.
  void Refund();

  /// Returns the priority of the team, else that of the route.
  [[nodiscard]] int priority() const { return priority_; }
  /// Returns the team's name for an instance, see ToInstanceRequest.
  [[nodiscard]] std::optional<std::string_view> Name() const;
  /// Returns when a request beyond the limit would pass.
  [[nodiscard]] millis retry_after() const { return retry_after_; }

 private:
  front_node& node_;
  std::shared_ptr<const route_index> routes_;  ///< Owns the team.
  const team* team_ = nullptr;  ///< Null if the caller has no known key.
  int priority_ = 0;
  bool is_open_ = false;
  bool is_charged_ = false;
  millis retry_after_;
};

}  // namespace peridotarch

#endif  // FRONT_TEAM_ACCESS_H_
