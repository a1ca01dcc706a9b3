#include "core/millis.h"

#include <chrono>
#include <ctime>

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

millis boot_clock::Now() {
  constexpr int64_t kNanosPerMilli = 1'000'000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return millis(now.tv_sec * 1000 + now.tv_nsec / kNanosPerMilli);
}

millis wall_clock::Now() { return Read<std::chrono::system_clock>(); }

}  // namespace peridotarch
