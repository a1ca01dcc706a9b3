#include "memory/answer_sizes.h"

#include <algorithm>

namespace peridotarch {

namespace {

constexpr uint64_t kDecayAnswers = 16;
// Routes that a configuration no longer has are forgotten with all others.
constexpr size_t kMaxRoutes = 4'096;

}  // namespace

// A single long answer is expected again for some time, since callers of long
// answers are what fills the memory.
void answer_sizes::Note(uint64_t route, uint64_t bytes) {
  const std::lock_guard lock(mutex_);
  if (by_route_.size() >= kMaxRoutes && !by_route_.contains(route)) {
    by_route_.clear();
  }
  uint64_t& expected = by_route_[route];
  expected = std::max(bytes, expected - expected / kDecayAnswers);
}

uint64_t answer_sizes::Expected(uint64_t route) const {
  const std::lock_guard lock(mutex_);
  const auto found = by_route_.find(route);
  return found == by_route_.end() ? 0 : found->second;
}

}  // namespace peridotarch
