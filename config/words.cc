#include "config/words.h"

#include <algorithm>
#include <charconv>
#include <numeric>

#include "core/span_text.h"

namespace peridotarch {

namespace {

constexpr size_t kMaxQuotedBytes = 60;
constexpr size_t kMaxComparedBytes = 64;  // Longer words have no nearest word.

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= left.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= right.size(); ++j) {
      const size_t above = row[j];
      const size_t change = left[i - 1] == right[j - 1] ? 0 : 1;
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + change});
      diagonal = above;
    }
  }
  return row.back();
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

split_line SplitLine(std::string_view line) {
  split_line result;
  size_t at = 0;
  while (at < line.size()) {
    if (IsBlank(line[at])) {
      ++at;
      continue;
    }
    if (line[at] == '#') {
      result.has_comment = true;
      result.comment = Trim(line.substr(at + 1));
      break;
    }
    const size_t begin = at;
    while (at < line.size() && !IsBlank(line[at])) {
      ++at;
    }
    result.words.push_back(
        {line.substr(begin, at - begin), static_cast<int>(begin) + 1});
    result.end_column = static_cast<int>(at) + 1;
  }
  return result;
}

std::vector<std::string_view> SplitText(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    lines.push_back(line);
  }
  return lines;
}

std::string NearestWord(std::string_view found,
                        std::span<const std::string_view> valid) {
  if (found.size() > kMaxComparedBytes) {
    return {};
  }
  size_t best_distance = 1 + found.size() / 2;
  std::string_view nearest;
  for (const std::string_view candidate : valid) {
    const size_t longer = std::max(candidate.size(), found.size());
    const size_t shorter = std::min(candidate.size(), found.size());
    if (longer - shorter > best_distance) {
      continue;
    }
    const size_t distance = EditDistance(found, candidate);
    if (distance < best_distance ||
        (distance == best_distance && nearest.empty())) {
      best_distance = distance;
      nearest = candidate;
    }
  }
  return std::string(nearest);
}

std::optional<int64_t> ReadNumber(std::string_view text) {
  int64_t value = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_complete = end == text.data() + text.size();
  if (status != std::errc() || !is_complete || text.front() == '-') {
    return std::nullopt;
  }
  return value;
}

std::optional<millis> ReadDuration(std::string_view text) {
  return ParseSpan(text, millis(0), millis(INT64_MAX));
}

std::string Quote(std::string_view text) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string result = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<uint8_t>(c);
    if (byte >= 0x20 && byte < 0x7f) {
      result.push_back(c);
    } else {
      result += "\\x";
      result.push_back(kDigits[byte >> 4]);
      result.push_back(kDigits[byte & 15]);
    }
  }
  result += text.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return result;
}

}  // namespace peridotarch
