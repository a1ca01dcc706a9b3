#include "proxy/team_table.h"

#include "config/snapshot.h"

namespace peridotarch {

// Each node grants a team its whole limit: callers keep their connections, so
// an equal share would starve a team that reaches few nodes. A team that
// reaches n nodes is admitted up to n times its limit, with or without a
// partition.
std::shared_ptr<const team_table> MakeTeamTable(const config_snapshot& config,
                                                const team_table& before) {
  auto table = std::make_shared<team_table>();
  for (const limit_rule& limit : config.rule_set.limits) {
    const auto known = before.find(limit.team);
    if (known != before.end() &&
        known->second->HasLimit(limit.rate, limit.burst)) {
      table->emplace(limit.team, known->second);
    } else {
      table->emplace(limit.team,
                     std::make_shared<team_bucket>(limit.rate, limit.burst));
    }
  }
  return table;
}

}  // namespace peridotarch
