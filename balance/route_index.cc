#include "balance/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace peridotarch {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

}  // namespace

route_index::route_index(fleet_config config)
    : config_(std::move(config)), teams_(config_.teams) {
  for (const host_route& route : config_.routes) {
    by_prefix_.emplace(NormalizeHost(route.host) + route.prefix, &route);
    longest_prefix_ = std::max(longest_prefix_, route.prefix.size());
  }
}

// Prefixes end with a slash, so one lookup for each slash of the path, from the
// last to the first, finds the longest without a scan of all routes. No prefix
// is longer than the longest, however many slashes a caller's path has.
const host_route* route_index::Find(std::string_view host,
                                    std::string_view target) const {
  const std::string_view path =
      target.substr(0, target.find_first_of("?#")).substr(0, longest_prefix_);
  const std::string name = NormalizeHost(host);
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found =
        by_prefix_.find(name + std::string(path.substr(0, end + 1)));
    if (found != by_prefix_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const std::string& PickService(const host_route& route, double draw) {
  double total = 0;
  for (const weighted_service& choice : route.services) {
    total += choice.weight;
  }
  double remaining = draw * total;
  for (const weighted_service& choice : route.services) {
    if (remaining < choice.weight) {
      return choice.service;
    }
    remaining -= choice.weight;
  }
  return route.services.back().service;
}

}  // namespace peridotarch
