#ifndef CONFIG_WORDS_H_
#define CONFIG_WORDS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/millis.h"

namespace peridotarch {

/// A word of a line of the rules file.
struct word {
  std::string_view text;
  int column = 1;  ///< From 1, in bytes.
};

/// A line, split into its words and its comment.
struct split_line {
  std::vector<word> words;
  std::string_view comment;  ///< Without its `#` and surrounding blanks.
  bool has_comment = false;
  int end_column = 1;  ///< Just after the last word.
};

/// Splits a line at blanks; a `#` at the start of a word begins the comment.
split_line SplitLine(std::string_view line);

/// Splits a text into lines without their line ends.
std::vector<std::string_view> SplitText(std::string_view text);

/// Returns the word of `valid` closest to `found`, or "" if none is close.
std::string NearestWord(std::string_view found,
                        std::span<const std::string_view> valid);

/// Parses a whole decimal number without a sign.
std::optional<int64_t> ReadNumber(std::string_view text);

/// Parses a duration: a number followed by `ms`, `s`, `m` or `h`.
std::optional<millis> ReadDuration(std::string_view text);

/// Returns `text` in quotes, with unprintable bytes escaped and long text
/// truncated.
std::string Quote(std::string_view text);

}  // namespace peridotarch

#endif  // CONFIG_WORDS_H_
