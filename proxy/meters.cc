#include "proxy/meters.h"

namespace peridotarch {

meters::meters(metrics& registry)
    : request_time(registry.Latency(
          "request_time_microseconds",
          "From a caller's request head to the end of its reply")),
      upstream_time(
          registry.Latency("upstream_time_microseconds",
                           "Attempts that an upstream answered in whole")),
      attempts(registry.Counter("attempts_total", "Attempts at upstreams")),
      retries(registry.Counter("retries_total", "Attempts beyond the first")),
      callers_left(registry.Counter("callers_left_total",
                                    "Callers that left before their reply")),
      inner_refused(registry.Counter("inner_refused_total",
                                     "Inner requests without a valid mark")),
      gossip_dropped(registry.Counter("gossip_dropped_total",
                                      "Gossip messages that were dropped")) {
  for (size_t i = 0; i < by_reason_.size(); ++i) {
    by_reason_[i] = &registry.Counter(
        "replies_total", "Replies to callers by reason",
        {{"reason", std::string(names_of<reason>::kTable[i])}});
  }
  for (size_t i = 0; i < by_verdict_.size(); ++i) {
    by_verdict_[i] = &registry.Counter(
        "verdicts_total", "Replies to callers by verdict",
        {{"verdict", std::string(names_of<verdict>::kTable[i])}});
  }
}

void meters::CountReply(reason why, verdict run_verdict) {
  by_reason_[static_cast<size_t>(why)]->Add();
  by_verdict_[static_cast<size_t>(run_verdict)]->Add();
}

}  // namespace peridotarch
