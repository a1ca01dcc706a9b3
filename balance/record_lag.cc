#include "balance/record_lag.h"

#include <cstddef>

namespace peridotarch {

namespace {

// Later announcements are merged into the last one.
constexpr size_t kMaxMissing = 32;
// Covers the wait for a reader of the own zone, a node's turn there and a read
// at a peer. What is left of two seconds suffices for a read of the store.
constexpr millis kMaxBehind(700);

}  // namespace

void record_lag::NoteAnnounced(topic_position position, millis now) {
  if (position <= known_ || position == absent_ ||
      (!missing_.empty() && position <= missing_.back().position)) {
    return;
  }
  if (missing_.size() == kMaxMissing) {
    missing_.back() = {position, now};
    return;
  }
  missing_.push_back({position, now});
}

void record_lag::NoteKnown(topic_position position) {
  known_ = position > known_ ? position : known_;
  while (!missing_.empty() && missing_.front().position <= known_) {
    missing_.pop_front();
  }
}

void record_lag::NoteStoreRead(millis began_at) {
  while (!missing_.empty() && missing_.front().first_heard_at <= began_at) {
    absent_ = missing_.front().position;
    missing_.pop_front();
  }
}

bool record_lag::IsOverdue(millis now) const {
  return BehindFor(now) >= kMaxBehind;
}

std::optional<millis> record_lag::BehindSince() const {
  if (missing_.empty()) {
    return std::nullopt;
  }
  return missing_.front().first_heard_at;
}

millis record_lag::BehindFor(millis now) const {
  return missing_.empty() ? millis(0) : now - missing_.front().first_heard_at;
}

}  // namespace peridotarch
