#include "core/hybrid_clock.h"

#include <algorithm>

namespace peridotarch {

hybrid_time hybrid_clock::Next(millis wall) {
  const std::lock_guard lock(mutex_);
  if (wall > last_.wall) {
    last_ = {wall, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

void hybrid_clock::Observe(hybrid_time remote) {
  const std::lock_guard lock(mutex_);
  last_ = std::max(last_, remote);
}

}  // namespace peridotarch
