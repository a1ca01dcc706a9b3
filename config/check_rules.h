#ifndef CONFIG_CHECK_RULES_H_
#define CONFIG_CHECK_RULES_H_

#include <string_view>
#include <vector>

#include "config/problem.h"
#include "config/rules.h"

namespace peridotarch {

/// Checks the rules against each other: services must exist, names and routes
/// must be unique. The columns of the problems are taken from `lines`, the
/// lines of the file.
void CheckRules(const rules& rule_set,
                const std::vector<std::string_view>& lines,
                std::vector<problem>& problems);

}  // namespace peridotarch

#endif  // CONFIG_CHECK_RULES_H_
