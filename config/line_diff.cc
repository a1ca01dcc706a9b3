#include "config/line_diff.h"

#include <algorithm>
#include <unordered_map>

#include "core/error.h"

namespace peridotarch {

namespace {

// The distance counts the lines removed or added. The memory of the search
// grows with the square of the distance, so texts that differ more are replaced
// as a whole between their common prefix and suffix.
constexpr int kMaxEditDistance = 1000;

using lines = std::vector<std::string_view>;

/// A line that stands in both texts, by its index in each.
struct match {
  size_t base;
  size_t changed;
};

// Gives equal lines equal numbers, so that lines compare as integers.
std::vector<int> NumberLines(
    const lines& text, std::unordered_map<std::string_view, int>& numbers) {
  std::vector<int> result;
  result.reserve(text.size());
  for (const std::string_view line : text) {
    const auto next_number = static_cast<int>(numbers.size());
    result.push_back(numbers.emplace(line, next_number).first->second);
  }
  return result;
}

/// Myers' greedy O(ND) search for the shortest edit script.
class shortest_script {
 public:
  shortest_script(const std::vector<int>& base, const std::vector<int>& changed)
      : base_(base),
        changed_(changed),
        base_size_(static_cast<int>(base.size())),
        changed_size_(static_cast<int>(changed.size())) {}

  // Returns the matching lines in order, or nothing if the texts differ by more
  // than kMaxEditDistance lines.
  std::optional<std::vector<match>> Find() {
    const int limit = std::min(kMaxEditDistance, base_size_ + changed_size_);
    reach_.assign(2 * static_cast<size_t>(limit) + 3, 0);
    middle_ = limit + 1;
    for (int distance = 0; distance <= limit; ++distance) {
      if (Extend(distance)) {
        return Backtrack(distance);
      }
      reach_history_.emplace_back(reach_.begin() + middle_ - distance - 1,
                                  reach_.begin() + middle_ + distance + 2);
    }
    return std::nullopt;
  }

 private:
  int& Reach(int diagonal) {
    const int index = middle_ + diagonal;
    return reach_[static_cast<size_t>(index)];
  }

  bool Extend(int distance) {
    for (int k = -distance; k <= distance; k += 2) {
      const bool down =
          k == -distance || (k != distance && Reach(k - 1) < Reach(k + 1));
      int x = down ? Reach(k + 1) : Reach(k - 1) + 1;
      while (x < base_size_ && x - k < changed_size_ && Equal(x, x - k)) {
        ++x;
      }
      Reach(k) = x;
      if (x >= base_size_ && x - k >= changed_size_) {
        return true;
      }
    }
    return false;
  }

  std::vector<match> Backtrack(int distance) {
    std::vector<match> matches;
    int x = base_size_;
    int y = changed_size_;
    for (int d = distance; d > 0; --d) {
      const std::vector<int>& before =
          reach_history_[static_cast<size_t>(d) - 1];
      const auto reach = [&](int k) {
        const int index = k + d;
        return before[static_cast<size_t>(index)];
      };
      const int k = x - y;
      const bool down = k == -d || (k != d && reach(k - 1) < reach(k + 1));
      const int from_k = down ? k + 1 : k - 1;
      const int from_x = reach(from_k);
      const int from_y = from_x - from_k;
      AddMatches(matches, x, y, down ? from_x : from_x + 1);
      x = from_x;
      y = from_y;
    }
    AddMatches(matches, x, y, 0);
    std::ranges::reverse(matches);
    return matches;
  }

  // Adds, in reverse, the diagonal run of matches from `from_x` up to (x, y).
  static void AddMatches(std::vector<match>& matches, int x, int y,
                         int from_x) {
    while (x > from_x && y > 0) {
      --x;
      --y;
      matches.push_back({static_cast<size_t>(x), static_cast<size_t>(y)});
    }
  }

  [[nodiscard]] bool Equal(int x, int y) const {
    return base_[static_cast<size_t>(x)] == changed_[static_cast<size_t>(y)];
  }

  const std::vector<int>& base_;
  const std::vector<int>& changed_;
  const int base_size_;
  const int changed_size_;
  int middle_ = 0;
  std::vector<int> reach_;
  std::vector<std::vector<int>> reach_history_;
};

void AddEdit(std::vector<line_edit>& edits, const lines& changed,
             size_t base_begin, size_t base_end, size_t changed_begin,
             size_t changed_end) {
  if (base_begin == base_end && changed_begin == changed_end) {
    return;
  }
  line_edit edit;
  edit.first_line = static_cast<uint32_t>(base_begin);
  edit.removed = static_cast<uint32_t>(base_end - base_begin);
  for (size_t i = changed_begin; i < changed_end; ++i) {
    edit.added.emplace_back(changed[i]);
  }
  edits.push_back(std::move(edit));
}

}  // namespace

std::vector<std::string_view> LinesWithEnds(std::string_view text) {
  lines result;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t size = end == std::string_view::npos ? text.size() : end + 1;
    result.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return result;
}

std::vector<line_edit> DiffLines(std::string_view base,
                                 std::string_view changed) {
  const lines left = LinesWithEnds(base);
  const lines right = LinesWithEnds(changed);
  std::unordered_map<std::string_view, int> numbers;
  std::vector<int> a = NumberLines(left, numbers);
  std::vector<int> b = NumberLines(right, numbers);
  size_t prefix = 0;
  while (prefix < a.size() && prefix < b.size() && a[prefix] == b[prefix]) {
    ++prefix;
  }
  size_t suffix = 0;
  while (suffix < a.size() - prefix && suffix < b.size() - prefix &&
         a[a.size() - 1 - suffix] == b[b.size() - 1 - suffix]) {
    ++suffix;
  }
  const auto middle = [&](const std::vector<int>& all) {
    return std::vector<int>(all.begin() + static_cast<std::ptrdiff_t>(prefix),
                            all.end() - static_cast<std::ptrdiff_t>(suffix));
  };
  a = middle(a);
  b = middle(b);
  const std::vector<match> matches =
      shortest_script(a, b).Find().value_or(std::vector<match>());
  std::vector<line_edit> edits;
  size_t x = 0;
  size_t y = 0;
  for (const match& m : matches) {
    AddEdit(edits, right, prefix + x, prefix + m.base, prefix + y,
            prefix + m.changed);
    x = m.base + 1;
    y = m.changed + 1;
  }
  AddEdit(edits, right, prefix + x, prefix + a.size(), prefix + y,
          prefix + b.size());
  return edits;
}

std::string ApplyEdits(std::string_view base,
                       const std::vector<line_edit>& edits) {
  const lines old = LinesWithEnds(base);
  std::string result;
  result.reserve(base.size());
  size_t at = 0;
  for (const line_edit& edit : edits) {
    if (edit.first_line < at || edit.first_line > old.size() ||
        edit.removed > old.size() - edit.first_line) {
      throw codec_error("an edit lies outside the base text");
    }
    for (; at < edit.first_line; ++at) {
      result += old[at];
    }
    for (const std::string& line : edit.added) {
      result += line;
    }
    at += edit.removed;
  }
  for (; at < old.size(); ++at) {
    result += old[at];
  }
  return result;
}

// Edits that touch without overlapping are a conflict too, because neighbouring
// lines are often read as one statement.
std::optional<std::vector<line_edit>> MergeEdits(
    const std::vector<line_edit>& mine, const std::vector<line_edit>& theirs) {
  std::vector<line_edit> all;
  std::ranges::merge(mine, theirs, std::back_inserter(all), {},
                     &line_edit::first_line, &line_edit::first_line);
  std::vector<line_edit> result;
  for (line_edit& edit : all) {
    if (!result.empty()) {
      const line_edit& last = result.back();
      if (last == edit) {
        continue;  // Both authors made the same change.
      }
      if (edit.first_line <= last.first_line + last.removed) {
        return std::nullopt;
      }
    }
    result.push_back(std::move(edit));
  }
  return result;
}

std::string FormatEdits(std::string_view base,
                        const std::vector<line_edit>& edits) {
  const lines old = LinesWithEnds(base);
  std::string text;
  const auto show = [&](char sign, std::string_view line) {
    text.push_back(sign);
    text += line;
    text += line.ends_with('\n') ? "" : "\n";
  };
  for (const line_edit& edit : edits) {
    text += "@" + std::to_string(edit.first_line + 1) + "\n";
    for (uint32_t i = 0; i < edit.removed; ++i) {
      show('-', old.at(edit.first_line + i));
    }
    for (const std::string& line : edit.added) {
      show('+', line);
    }
  }
  return text;
}

}  // namespace peridotarch
