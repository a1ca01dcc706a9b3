#include "core/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace peridotarch {

namespace {

// Levenshtein distance by rows: `row[j]` is the distance between the prefix of
// `left` read so far and the first j characters of `right`.
size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < left.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < right.size(); ++j) {
      const size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& candidates) {
  size_t least = std::max<size_t>(word.size() / 3, 1) + 1;
  std::string nearest;
  for (const std::string& candidate : candidates) {
    const size_t distance = EditDistance(word, candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace peridotarch
