#ifndef CORE_NEAREST_WORD_H_
#define CORE_NEAREST_WORD_H_

#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

/// Returns the candidate with the smallest edit distance to `word`, or an empty
/// text when none is within a third of its length.
std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& candidates);

}  // namespace peridotarch

#endif  // CORE_NEAREST_WORD_H_
