#ifndef CONFIG_PARSE_H_
#define CONFIG_PARSE_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "config/problem.h"
#include "config/rules.h"

namespace peridotarch {

/// The largest rules file that is accepted, in bytes.
inline constexpr size_t kMaxTextBytes = size_t{8} << 20;

/// The rules of a file; incomplete if there are problems.
struct parse_result {
  rules rule_set;
  std::vector<problem> problems;  ///< Sorted by line and column.
};

/// Parses and checks a rules file; reports all of its errors, not only the
/// first.
parse_result ParseRules(std::string_view text);

}  // namespace peridotarch

#endif  // CONFIG_PARSE_H_
