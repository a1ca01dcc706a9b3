#include "detection/leaving.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// Far beyond the lag of the platform's list.
constexpr millis kLeavingKept(24 * 3'600'000);

}  // namespace

bool leaving_set::Note(const std::string& instance, uint64_t incarnation,
                       millis now) {
  const auto [it, added] =
      noted_.try_emplace(instance, noted{incarnation, now});
  if (added) {
    return true;
  }
  it->second.at = now;
  if (incarnation <= it->second.incarnation) {
    return false;
  }
  it->second.incarnation = incarnation;
  return true;
}

// An older incarnation than one that leaves has left before it.
bool leaving_set::Contains(const std::string& instance,
                           uint64_t incarnation) const {
  const auto it = noted_.find(instance);
  return it != noted_.end() && incarnation <= it->second.incarnation;
}

void leaving_set::Forget(millis now) {
  std::erase_if(noted_, [&](const auto& each) {
    return now - each.second.at > kLeavingKept;
  });
}

}  // namespace peridotarch
