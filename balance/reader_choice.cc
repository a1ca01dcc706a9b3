#include "balance/reader_choice.h"

#include <algorithm>

namespace peridotarch {

namespace {

// While the reader of a zone is silent, its nodes learn of changes from the
// readers of other zones.
constexpr int kReadersAlone = 2;
constexpr int kReadersBesideOthers = 1;
constexpr int kReadersInOtherZones = 2;
constexpr millis kOtherZoneReaderTimeout(5'000);
// Reports come once a second, with some delay. Changes in the store have to
// reach every node within two seconds, which leaves no time to wait for a
// second missed report.
constexpr millis kReaderTimeout(1'400);
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

bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now) {
  int readers_ahead = 0;
  int readers_in_other_zones = 0;
  for (const reader_candidate& other : others) {
    const bool is_reader = other.same_zone && other.reads_store &&
                           now - other.heard_at < kReaderTimeout;
    readers_ahead += is_reader && other.rank < own_rank ? 1 : 0;
    readers_in_other_zones +=
        !other.same_zone && other.reads_store &&
                now - other.heard_at < kOtherZoneReaderTimeout
            ? 1
            : 0;
  }
  const int needed = readers_in_other_zones >= kReadersInOtherZones
                         ? kReadersBesideOthers
                         : kReadersAlone;
  return readers_ahead < needed;
}

bool ShouldReadStoreFirst(uint64_t own_rank,
                          std::span<const reader_candidate> others,
                          bool is_first_start, millis now) {
  return std::none_of(others.begin(), others.end(), [&](const auto& other) {
    const bool is_live = now - other.heard_at < kReaderTimeout;
    const bool is_ahead =
        is_first_start && other.same_zone && other.rank < own_rank;
    return is_live && (other.has_records || is_ahead);
  });
}

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
