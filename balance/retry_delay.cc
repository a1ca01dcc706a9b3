#include "balance/retry_delay.h"

#include <algorithm>

namespace peridotarch {

namespace {

constexpr int64_t kHonouredPart = 3;  // callers honour a third of their time
constexpr millis kMaxSpread(1'000);
constexpr millis kMinSpread(50);
constexpr double kMaxJitter = 1.5;

}  // namespace

millis DelayAfterRest(millis rest, millis time_left, double spread) {
  const millis width =
      std::clamp(time_left / kHonouredPart - rest, kMinSpread, kMaxSpread);
  return rest + millis(static_cast<int64_t>(static_cast<double>(width.count()) *
                                            spread));
}

millis DelayWithoutInstance(millis usual, millis time_left) {
  const double honoured =
      static_cast<double>((time_left / kHonouredPart).count()) / kMaxJitter;
  return std::clamp(millis(static_cast<int64_t>(honoured)), millis(1), usual);
}

}  // namespace peridotarch
