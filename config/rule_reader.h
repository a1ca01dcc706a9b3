#ifndef CONFIG_RULE_READER_H_
#define CONFIG_RULE_READER_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/problem.h"
#include "config/words.h"
#include "core/millis.h"

namespace peridotarch {

/// A keyword of a rule, with the value that follows it.
struct property {
  std::string_view keyword;
  bool has_value = true;
  bool required = true;
  /// Called with the value, or with the keyword when it has none.
  std::function<void(const word&)> read;
};

/// Reads the words of one rule from left to right and notes each problem.
class rule_reader {
 public:
  rule_reader(int line, const split_line& split,
              std::vector<problem>* problems);

  /// Returns the next word, or notes that `allowed` is missing.
  std::optional<word> ReadWord(std::string_view allowed);

  /// Reads a name of letters, digits, `-`, `_`, `.` and `:`.
  std::string ReadName(std::string_view what);

  /// Reads the word `literal`.
  void ReadLiteral(std::string_view literal);

  /// Reads the rest of the line: each property at most once, in any order.
  void ReadProperties(std::span<const property> properties);

  /// Reads a number in [low, high] from `from`.
  int ParseBoundedNumber(const word& from, int low, int high,
                         std::string_view unit);

  /// Reads a duration in [low, high] from `from`.
  millis ParseBoundedDuration(const word& from, millis low, millis high);

  /// Notes a problem with a word.
  void AddProblem(const word& at, std::string allowed,
                  std::string nearest = "");

  /// Notes that something is missing at the end of the line.
  void AddMissing(std::string_view allowed);

 private:
  const int line_;
  const split_line& split_;
  std::vector<problem>* const problems_;
  size_t next_ = 0;
};

/// Returns `value` with the largest unit that keeps it whole, such as `2s`.
std::string ToText(millis value);

}  // namespace peridotarch

#endif  // CONFIG_RULE_READER_H_
