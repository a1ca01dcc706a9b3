#include "front/team_access.h"

#include <utility>

namespace peridotarch {

// A route that is open needs no key. If the caller has one all the same, the
// instance learns its team, unless the key may belong to another one by now.
std::optional<reason> team_access::Identify(
    std::shared_ptr<const route_index> routes, const host_route& route,
    std::string_view key) {
  routes_ = std::move(routes);
  priority_ = route.priority;
  is_open_ = route.is_open;
  const team_directory& teams = routes_->teams();
  if (!teams.requires_keys()) {
    return std::nullopt;
  }
  // A newer configuration may have withdrawn a key, or have added one.
  if (!node_.freshness.IsFresh(boot_clock::Now())) {
    return is_open_ ? std::nullopt : std::optional(reason::kConfigOutdated);
  }
  team_ = teams.FindByKey(key);
  if (team_ == nullptr) {
    return is_open_ ? std::nullopt : std::optional(reason::kUnknownKey);
  }
  priority_ = team_->priority.value_or(route.priority);
  return std::nullopt;
}

std::optional<reason> team_access::Charge() {
  if (team_ == nullptr || is_open_) {
    return std::nullopt;
  }
  const limit_decision decision =
      node_.limits.Charge(team_->name, boot_clock::Now());
  if (!decision.admitted) {
    retry_after_ = decision.retry_after;
    return reason::kTeamLimit;
  }
  is_charged_ = true;
  return std::nullopt;
}

void team_access::Refund() {
  if (std::exchange(is_charged_, false)) {
    node_.limits.Refund(team_->name, boot_clock::Now());
  }
}

std::optional<std::string_view> team_access::Name() const {
  if (!routes_->teams().requires_keys()) {
    return std::nullopt;
  }
  std::string_view name;
  if (team_ != nullptr) {
    name = team_->name;
  }
  return name;
}

}  // namespace peridotarch
