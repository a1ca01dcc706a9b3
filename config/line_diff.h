#ifndef CONFIG_LINE_DIFF_H_
#define CONFIG_LINE_DIFF_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

/// Replaces consecutive lines of a base text.
struct line_edit {
  uint32_t first_line = 0;         ///< The first replaced line, from 0.
  uint32_t removed = 0;            ///< How many lines of the base.
  std::vector<std::string> added;  ///< With their line ends.

  bool operator==(const line_edit&) const = default;
};

/// Splits a text into lines that keep their line ends.
std::vector<std::string_view> LinesWithEnds(std::string_view text);

/// Returns the edits that turn `base` into `changed`, in order. They neither
/// overlap nor touch.
std::vector<line_edit> DiffLines(std::string_view base,
                                 std::string_view changed);

/// Applies edits to `base`. Throws codec_error if they lie outside it or are
/// not in order.
std::string ApplyEdits(std::string_view base,
                       const std::vector<line_edit>& edits);

/// Merges the edits that two authors made to the same base. Returns nothing if
/// their lines overlap or touch.
std::optional<std::vector<line_edit>> MergeEdits(
    const std::vector<line_edit>& mine, const std::vector<line_edit>& theirs);

/// Returns the edits as text: for each edit `@LINE`, then its `-` and `+`
/// lines.
std::string FormatEdits(std::string_view base,
                        const std::vector<line_edit>& edits);

}  // namespace peridotarch

#endif  // CONFIG_LINE_DIFF_H_
