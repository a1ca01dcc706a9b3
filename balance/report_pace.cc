#include "balance/report_pace.h"

#include <algorithm>

namespace peridotarch {

namespace {

// A node receives at most 200 such reports a second from its zone.
constexpr millis kIntervalPerNode(5);

}  // namespace

millis ZoneReportInterval(size_t nodes) {
  return kIntervalPerNode * static_cast<int64_t>(nodes);
}

millis report_pace::DelayAt(millis now, millis interval) const {
  return sent_at_ ? std::max(millis(0), *sent_at_ + interval - now) : millis(0);
}

}  // namespace peridotarch
