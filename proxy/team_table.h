#ifndef PROXY_TEAM_TABLE_H_
#define PROXY_TEAM_TABLE_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "request/team_limit.h"

namespace peridotarch {

struct config_snapshot;

/// The buckets of the teams that have a limit. The table is immutable; its
/// buckets are charged without a lock.
using team_table =
    std::unordered_map<std::string, std::shared_ptr<team_bucket>>;

/// Makes the table of a revision; a team whose limit is unchanged keeps its
/// bucket from `before`.
std::shared_ptr<const team_table> MakeTeamTable(const config_snapshot& config,
                                                const team_table& before);

}  // namespace peridotarch

#endif  // PROXY_TEAM_TABLE_H_
