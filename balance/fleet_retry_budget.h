#ifndef BALANCE_FLEET_RETRY_BUDGET_H_
#define BALANCE_FLEET_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balance/load_report.h"
#include "core/millis.h"

namespace peridotarch {

/// Limits on the fleet's retries to one service within any window.
struct retry_limits {
  double ratio = 0.1;  ///< Retries per request of the service in the window.
  double slack = 0;    ///< Retries of the whole fleet beyond the ratio.
  millis window = millis(10'000);
};

/// State of one service's retry budget as this node knows it.
struct retry_budget_state {
  int used = 0;         ///< Retries of the nodes heard, in the window.
  int allowed = 0;      ///< Limit of `used` for the given priority.
  int nodes_heard = 0;  ///< Nodes whose usage is known, including this one.
  int nodes_known = 0;  ///< Nodes that may be using a part of the budget.
};

/// The retry budget of each service, shared by the fleet. Every node reports
/// how many retries it took in the window, and takes another one only while the
/// sum over the fleet allows it. Not thread-safe.
class fleet_retry_budget {
 public:
  explicit fleet_retry_budget(retry_limits limits) : limits_(limits) {}

  void SetLimits(retry_limits limits) { limits_ = limits; }
  /// Counts a caller's request for the service.
  void NoteRequest(std::string_view service, millis now);
  /// Returns the budget for a request of the given priority; 0 is the most
  /// urgent.
  [[nodiscard]] retry_budget_state StateFor(std::string_view service,
                                            int priority, millis now);
  /// Takes one retry, or returns false if the fleet's budget is used up, which
  /// happens sooner for less urgent requests.
  bool TakeRetry(std::string_view service, int priority, millis now);

  /// Replaces the known usage of a peer.
  void Apply(const std::string& peer, std::span<const retry_usage> usage,
             millis now);
  /// Returns this node's usage, to report to its peers.
  [[nodiscard]] std::vector<retry_usage> Usage(millis now);

 private:
  struct own_usage {
    std::deque<millis> requests;
    std::deque<millis> retries;
  };
  struct peer_usage {
    millis heard_at;
    std::vector<retry_usage> usage;
  };

  own_usage& Own(uint32_t service, millis now);

  retry_limits limits_;
  std::unordered_map<uint32_t, own_usage> own_;
  std::unordered_map<std::string, peer_usage> peers_;
};

}  // namespace peridotarch

#endif  // BALANCE_FLEET_RETRY_BUDGET_H_
