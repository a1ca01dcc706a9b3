#ifndef CORE_RECORD_POSITION_H_
#define CORE_RECORD_POSITION_H_

#include <cstdint>

#include "core/store_count.h"

namespace peridotarch {

/// A store that comes back from an older copy begins a new era, in which it
/// gives out offsets again. An era and an offset make one position, which only
/// rises; in the first era it equals the offset.
inline constexpr int kOffsetBits = 40;
inline constexpr uint64_t kMaxOffset = (uint64_t{1} << kOffsetBits) - 1;
inline constexpr uint64_t kMaxEra = (uint64_t{1} << (63 - kOffsetBits)) - 1;

constexpr record_offset PositionIn(uint64_t era, uint64_t offset) {
  return era << kOffsetBits | offset;
}
constexpr uint64_t EraOf(record_offset position) {
  return position.value() >> kOffsetBits;
}
constexpr uint64_t OffsetOf(record_offset position) {
  return position.value() & kMaxOffset;
}

}  // namespace peridotarch

#endif  // CORE_RECORD_POSITION_H_
