#ifndef CONFIG_LINE_DIFF_H_
#define CONFIG_LINE_DIFF_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

/// Replaces lines of a base text.
struct line_edit {
  uint32_t at = 0;                 ///< First line replaced, from 0.
  uint32_t removed = 0;            ///< Lines of the base replaced.
  std::vector<std::string> added;  ///< Lines with their line ends.

  bool operator==(const line_edit&) const = default;
};

/// Splits a text into lines that keep their line ends.
std::vector<std::string_view> LinesWithEnds(std::string_view text);

/// Returns edits, in order and apart from each other, that turn `base` into
/// `changed`.
std::vector<line_edit> DiffLines(std::string_view base,
                                 std::string_view changed);

/// Applies edits; throws codec_error if they do not fit `base`.
std::string ApplyEdits(std::string_view base,
                       const std::vector<line_edit>& edits);

/// Joins the edits that two authors made to the same base, or nothing when
/// their lines touch.
std::optional<std::vector<line_edit>> MergeEdits(
    const std::vector<line_edit>& mine, const std::vector<line_edit>& theirs);

/// Returns the edits as text: `@LINE`, then `-` and `+` lines.
std::string FormatEdits(std::string_view base,
                        const std::vector<line_edit>& edits);

}  // namespace peridotarch

#endif  // CONFIG_LINE_DIFF_H_
