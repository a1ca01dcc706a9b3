#ifndef TEAMS_TEAM_H_
#define TEAMS_TEAM_H_

#include <optional>
#include <string>
#include <vector>

#include "core/hash.h"

namespace peridotarch {

/// A team whose callers identify themselves by keys, as the configuration
/// describes it.
struct team {
  std::string name;
  std::vector<digest> keys;  ///< SHA-256 digests of its keys.
  std::optional<int>
      priority;      ///< 0 is the most urgent; goes before a route's.
  double rate = 0;   ///< Requests a second of the fleet; 0: no limit.
  double burst = 0;  ///< Requests at once beyond the rate.
};

}  // namespace peridotarch

#endif  // TEAMS_TEAM_H_
