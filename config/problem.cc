#include "config/problem.h"

namespace peridotarch {

std::string ToText(const problem& value) {
  std::string text = std::to_string(value.line) + ":" +
                     std::to_string(value.column) + ": found " + value.found +
                     "; allowed: " + value.allowed;
  if (!value.nearest.empty()) {
    text += "; did you mean " + value.nearest + "?";
  }
  return text;
}

}  // namespace peridotarch
