#include "core/millis.h"

#include <chrono>

namespace peridotarch {

namespace {

template <typename Clock>
millis Read() {
  const auto since_origin = Clock::now().time_since_epoch();
  return millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_origin)
          .count());
}

}  // namespace

millis steady_clock::Now() { return Read<std::chrono::steady_clock>(); }

millis wall_clock::Now() { return Read<std::chrono::system_clock>(); }

}  // namespace peridotarch
