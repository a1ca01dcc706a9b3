#include "detection/leaving.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// How long a leaving instance is remembered: far longer than the platform's
/// list lags behind.
constexpr millis kLeavingMemory(24 * 3'600'000);

}  // namespace

bool leaving_set::Note(const std::string& instance, uint64_t incarnation,
                       millis now) {
  const auto [it, added] =
      noted_.try_emplace(instance, noted{incarnation, now});
  if (added) {
    return true;
  }
  it->second.noted_at = now;
  if (incarnation <= it->second.incarnation) {
    return false;
  }
  it->second.incarnation = incarnation;
  return true;
}

// Any incarnation older than a leaving one has left already.
bool leaving_set::Contains(const std::string& instance,
                           uint64_t incarnation) const {
  const auto it = noted_.find(instance);
  return it != noted_.end() && incarnation <= it->second.incarnation;
}

void leaving_set::Forget(millis now) {
  std::erase_if(noted_, [&](const auto& item) {
    return now - item.second.noted_at > kLeavingMemory;
  });
}

}  // namespace peridotarch
