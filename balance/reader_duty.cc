#include "balance/reader_duty.h"

#include <algorithm>

#include "balance/reader_choice.h"

namespace peridotarch {

namespace {

// The store may turn a third of the nodes away, so nodes take over in groups:
// one of a group nearly always succeeds, and a large zone does not read at
// once.
constexpr int64_t kTakeoverGroup = 4;
constexpr millis kTakeoverInterval(100);
constexpr millis kMaxTakeoverDelay(300);

// A group begins when the one before it has had time to tell of its success.
millis TakeoverDelay(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now) {
  const int64_t ahead =
      std::count_if(others.begin(), others.end(), [&](const auto& other) {
        return other.same_zone && other.has_records && other.rank < own_rank &&
               now - other.heard_at < kReaderTimeout;
      });
  return std::min(kTakeoverInterval * (ahead / kTakeoverGroup),
                  kMaxTakeoverDelay);
}

}  // namespace

std::optional<millis> reader_duty::DueAt(
    uint64_t own_rank, std::span<const reader_candidate> others, millis now) {
  if (!ShouldReadStore(own_rank, others, now)) {
    missing_since_.reset();
    return std::nullopt;
  }
  missing_since_ = missing_since_.value_or(now);
  return *missing_since_ + TakeoverDelay(own_rank, others, now);
}

}  // namespace peridotarch
