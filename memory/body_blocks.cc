#include "memory/body_blocks.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace peridotarch {

namespace {

constexpr size_t kFirstBlock = 4 << 10;
// Blocks of this size are returned to the system when they are freed, since the
// allocator maps them one by one.
constexpr size_t kLargestBlock = 128 << 10;

}  // namespace

body_blocks::body_blocks(std::shared_ptr<memory_reservation> reservation)
    : reservation_(std::move(reservation)) {}

bool body_blocks::Charge(uint64_t bytes, millis now) {
  return !reservation_ || reservation_->Resize(bytes + unread_bytes_, now);
}

// Each block is as large as those before it together, up to a limit, so that a
// short body takes little and a long one has few blocks.
bool body_blocks::AddBlock(uint64_t wanted, millis now) {
  const uint64_t usual =
      std::clamp<uint64_t>(capacity_, kFirstBlock, kLargestBlock);
  const auto bytes = static_cast<size_t>(std::min(usual, wanted));
  if (!Charge(head_bytes_ + capacity_ + bytes, now)) {
    return false;
  }
  blocks_.push_back({std::make_unique_for_overwrite<char[]>(bytes), bytes, 0});
  capacity_ += bytes;
  return true;
}

std::span<char> body_blocks::Prepare(uint64_t wanted, millis now) {
  if (reservation_ && reservation_->is_ended()) {
    return {};
  }
  const bool is_full =
      blocks_.empty() || blocks_.back().filled == blocks_.back().capacity;
  if (is_full && !AddBlock(wanted, now)) {
    return {};
  }
  block& last = blocks_.back();
  const auto bytes = static_cast<size_t>(
      std::min<uint64_t>(wanted, last.capacity - last.filled));
  return {last.bytes.get() + last.filled, bytes};
}

void body_blocks::Commit(size_t bytes, millis now) {
  blocks_.back().filled += bytes;
  size_ += bytes;
  if (reservation_) {
    reservation_->NoteProgress(bytes, now);
  }
}

bool body_blocks::Append(std::span<const char> bytes, uint64_t left,
                         millis now) {
  while (!bytes.empty()) {
    const std::span<char> space = Prepare(left, now);
    if (space.empty()) {
      return false;
    }
    const size_t count = std::min(space.size(), bytes.size());
    std::memcpy(space.data(), bytes.data(), count);
    Commit(count, now);
    bytes = bytes.subspan(count);
    left -= count;
  }
  return true;
}

bool body_blocks::SetHeadBytes(uint64_t bytes, millis now) {
  head_bytes_ = bytes;
  unread_bytes_ = 0;
  return Charge(head_bytes_ + capacity_, now);
}

bool body_blocks::SetUnreadBytes(uint64_t bytes, millis now) {
  unread_bytes_ = bytes;
  return Charge(head_bytes_ + capacity_, now);
}

void body_blocks::Complete() {
  if (reservation_) {
    reservation_->Complete();
  }
}

std::span<const char> body_blocks::Block(size_t index) const {
  return {blocks_[index].bytes.get(), blocks_[index].filled};
}

}  // namespace peridotarch
