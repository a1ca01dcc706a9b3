#ifndef CONFIG_PROBLEM_H_
#define CONFIG_PROBLEM_H_

#include <string>

namespace peridotarch {

/// One error in a rules file.
struct problem {
  int line = 0;         ///< From 1.
  int column = 0;       ///< From 1, in bytes.
  std::string found;    ///< The word at fault, or "end of line".
  std::string allowed;  ///< What is valid in its place.
  std::string nearest;  ///< The valid word closest to `found`, or empty.

  bool operator==(const problem&) const = default;
};

/// Returns `LINE:COLUMN: found X; allowed: Y; did you mean Z?`.
std::string ToText(const problem& value);

}  // namespace peridotarch

#endif  // CONFIG_PROBLEM_H_
