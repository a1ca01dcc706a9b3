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

}  // namespace peridotarch
