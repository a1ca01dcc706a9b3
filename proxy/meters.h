#ifndef PROXY_METERS_H_
#define PROXY_METERS_H_

#include <array>
#include <string>

#include "core/metrics.h"
#include "core/verdict.h"
#include "request/reason.h"

namespace peridotarch {

/// The counters and latencies of a proxy's request path.
class meters {
 public:
  explicit meters(metrics& registry);

  /// Counts a reply to a caller.
  void CountReply(reason why, verdict run_verdict);

  latency_summary& request_time;   ///< From a request's head to its reply.
  latency_summary& upstream_time;  ///< Of answered attempts.
  counter& attempts;
  counter& retries;
  counter& callers_left;
  counter& inner_refused;
  counter& gossip_dropped;

 private:
  std::array<counter*, names_of<reason>::kTable.size()> by_reason_;
  std::array<counter*, names_of<verdict>::kTable.size()> by_verdict_;
};

}  // namespace peridotarch

#endif  // PROXY_METERS_H_
