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

/// The fleet's bound on repeated sends to one service, in any window.
struct retry_limits {
  double ratio = 0.1;  ///< Of the service's requests in the window.
  double slack = 0;    ///< More, for the whole fleet.
  millis window = millis(10'000);
};

/// What is known of one service's budget.
struct retry_budget_state {
  int used = 0;     ///< Repeated sends of the fleet in the window.
  int allowed = 0;  ///< For requests of the priority asked for.
  int heard = 0;    ///< Nodes whose use is known, with this one.
  int known = 0;    ///< Nodes that may be using a part.
};

/// The retry budget of each service, shared by the fleet: every node reports
/// what it took in the window, and takes more only while the sum allows it.
/// Not thread-safe.
class fleet_retry_budget {
 public:
  explicit fleet_retry_budget(retry_limits bound) : bound_(bound) {}

  /// Replaces the bound.
  void SetLimits(retry_limits bound) { bound_ = bound; }
  /// Counts a caller's request for the service.
  void NoteRequest(std::string_view service, millis now);
  /// Returns what the budget allows a request of a priority; 0 is the most
  /// urgent.
  [[nodiscard]] retry_budget_state StateFor(std::string_view service,
                                            int priority, millis now);
  /// Takes one retry; false when the fleet's budget is used up. The less
  /// urgent a request, the sooner.
  bool TakeRetry(std::string_view service, int priority, millis now);

  /// Takes a peer's usage into account.
  void Apply(const std::string& peer, std::span<const retry_usage> usage,
             millis now);
  /// Returns this node's usage for its peers.
  [[nodiscard]] std::vector<retry_usage> Usage(millis now);

 private:
  struct own_usage {
    std::deque<millis> requests;
    std::deque<millis> retries;
  };
  struct peer_usage {
    millis heard;
    std::vector<retry_usage> usage;
  };

  own_usage& Own(uint32_t service, millis now);

  retry_limits bound_;
  std::unordered_map<uint32_t, own_usage> own_;
  std::unordered_map<std::string, peer_usage> peers_;
};

}  // namespace peridotarch

#endif  // BALANCE_FLEET_RETRY_BUDGET_H_
