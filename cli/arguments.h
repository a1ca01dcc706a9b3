#ifndef CLI_ARGUMENTS_H_
#define CLI_ARGUMENTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/millis.h"

namespace peridotarch {

/// The words and flags of one command.
class arguments {
 public:
  /// Splits `args` into flags with a value, from `flags`, and at most
  /// `max_words` words. Throws settings_error that names what is not allowed.
  arguments(const std::vector<std::string>& args,
            const std::vector<std::string>& flags, size_t max_words);

  [[nodiscard]] const std::vector<std::string>& words() const { return words_; }

  /// Returns the value of `--name`, if given.
  [[nodiscard]] std::optional<std::string> Text(const std::string& name) const;

  /// Returns a whole number within [low, high], or the fallback.
  [[nodiscard]] int64_t Number(const std::string& name, int64_t low,
                               int64_t high, int64_t fallback) const;

  /// Returns a span written like "90s" or "15m", if given.
  [[nodiscard]] std::optional<millis> Span(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
  std::vector<std::string> words_;
};

}  // namespace peridotarch

#endif  // CLI_ARGUMENTS_H_
