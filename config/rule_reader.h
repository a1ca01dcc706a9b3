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

/// A keyword of a rule and how to read its value.
struct property {
  std::string_view keyword;
  bool has_value = true;
  bool required = true;
  /// Called with the value, or with the keyword if it has no value.
  std::function<void(const word&)> read;
};

/// Reads the words of one rule from left to right and collects its problems.
class rule_reader {
 public:
  rule_reader(int line, const split_line& split,
              std::vector<problem>* problems);

  /// Returns the next word; at the end of the line, adds the problem that
  /// `allowed` is missing.
  std::optional<word> ReadWord(std::string_view allowed);

  /// Reads a name of letters, digits, `-`, `_`, `.` and `:`.
  std::string ReadName(std::string_view what);

  /// Reads the word `literal`.
  void ReadLiteral(std::string_view literal);

  /// Reads the rest of the line, which holds each property at most once and in
  /// any order.
  void ReadProperties(std::span<const property> properties);

  /// Returns the number `from`, which must be in [low, high] and end in `unit`;
  /// adds a problem and returns `low` if it is invalid.
  int ParseBoundedNumber(const word& from, int low, int high,
                         std::string_view unit);

  /// Returns the duration `from`, which must be in [low, high]; adds a problem
  /// and returns `low` if it is invalid.
  millis ParseBoundedDuration(const word& from, millis low, millis high);

  /// Adds a problem with the word `at`.
  void AddProblem(const word& at, std::string allowed,
                  std::string nearest = "");

  /// Adds the problem that `allowed` is missing at the end of the line.
  void AddMissing(std::string_view allowed);

 private:
  const int line_;
  const split_line& split_;
  std::vector<problem>* const problems_;
  size_t next_ = 0;
};

/// Returns `value` in its largest unit without a fraction, such as `2s`.
std::string ToText(millis value);

}  // namespace peridotarch

#endif  // CONFIG_RULE_READER_H_
