#ifndef CONFIG_CHECK_RULES_H_
#define CONFIG_CHECK_RULES_H_

#include <string_view>
#include <vector>

#include "config/problem.h"
#include "config/rules.h"

namespace peridotarch {

/// Checks what one line alone cannot show: names that must exist, names and
/// routes that must be unique. `lines` are the file's lines, for columns.
void CheckRules(const rules& rule_set,
                const std::vector<std::string_view>& lines,
                std::vector<problem>& problems);

}  // namespace peridotarch

#endif  // CONFIG_CHECK_RULES_H_
