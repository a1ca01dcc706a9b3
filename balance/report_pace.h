#ifndef BALANCE_REPORT_PACE_H_
#define BALANCE_REPORT_PACE_H_

#include <cstddef>
#include <optional>

#include "core/millis.h"

namespace peridotarch {

/// Returns the least time between two reports of a node to its whole zone of
/// `nodes` nodes, so that what a node receives does not grow with the zone.
millis ZoneReportInterval(size_t nodes);

/// Limits how often a report is sent. The first one after a quiet time is sent
/// at once.
class report_pace {
 public:
  /// Returns how long to wait from `now` on until the next report may be sent.
  [[nodiscard]] millis DelayAt(millis now, millis interval) const;
  void NoteSent(millis now) { sent_at_ = now; }

 private:
  std::optional<millis> sent_at_;
};

}  // namespace peridotarch

#endif  // BALANCE_REPORT_PACE_H_
