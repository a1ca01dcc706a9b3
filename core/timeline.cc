#include "core/timeline.h"

#include <utility>

namespace peridotarch {

timeline::timeline(std::string node, size_t capacity)
    : node_(std::move(node)), capacity_(capacity) {}

void timeline::Add(millis wall, event_kind kind, std::string subject,
                   std::string detail) {
  event added{clock_.Next(wall), node_, kind, std::move(subject),
              std::move(detail)};
  const std::lock_guard lock(mutex_);
  if (ring_.size() < capacity_) {
    ring_.push_back(std::move(added));
    return;
  }
  ring_[next_] = std::move(added);
  next_ = (next_ + 1) % capacity_;
}

std::vector<event> timeline::Events() const {
  const std::lock_guard lock(mutex_);
  std::vector<event> ordered;
  ordered.reserve(ring_.size());
  for (size_t i = 0; i < ring_.size(); ++i) {
    ordered.push_back(ring_[(next_ + i) % ring_.size()]);
  }
  return ordered;
}

}  // namespace peridotarch
