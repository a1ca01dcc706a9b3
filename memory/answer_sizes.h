#ifndef MEMORY_ANSWER_SIZES_H_
#define MEMORY_ANSWER_SIZES_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace peridotarch {

/// How long the answers of each route are: the longest of the recent ones. Safe
/// on any thread.
class answer_sizes {
 public:
  /// Records an answer of a route, in bytes.
  void Note(uint64_t route, uint64_t bytes);
  /// Returns the size to expect, 0 for a route without answers.
  [[nodiscard]] uint64_t Expected(uint64_t route) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, uint64_t> by_route_;
};

}  // namespace peridotarch

#endif  // MEMORY_ANSWER_SIZES_H_
