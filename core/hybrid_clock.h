#ifndef CORE_HYBRID_CLOCK_H_
#define CORE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <mutex>

#include "core/millis.h"

namespace peridotarch {

/// A hybrid logical time: wall-clock milliseconds, then a counter that orders
/// events within one.
struct hybrid_time {
  millis wall;
  uint32_t counter = 0;

  auto operator<=>(const hybrid_time&) const = default;
};

/// Issues hybrid times that rise within a process and across the messages
/// between processes.
class hybrid_clock {
 public:
  /// Returns a time above all that were issued or observed; `wall` is the wall
  /// clock's reading.
  hybrid_time Next(millis wall);

  /// Takes in a time received from another process.
  void Observe(hybrid_time remote);

 private:
  std::mutex mutex_;
  hybrid_time last_;
};

}  // namespace peridotarch

#endif  // CORE_HYBRID_CLOCK_H_
