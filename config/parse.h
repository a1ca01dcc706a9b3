#ifndef CONFIG_PARSE_H_
#define CONFIG_PARSE_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "config/problem.h"
#include "config/rules.h"

namespace peridotarch {

/// The largest rules file, in bytes.
inline constexpr size_t kMaxTextBytes = size_t{8} << 20;

/// The rules of a file, whole only when there is no problem.
struct parse_result {
  rules rule_set;
  std::vector<problem> problems;  ///< In the order of their places.
};

/// Reads a rules file and checks it; finds all errors at once.
parse_result ParseRules(std::string_view text);

}  // namespace peridotarch

#endif  // CONFIG_PARSE_H_
