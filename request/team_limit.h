#ifndef REQUEST_TEAM_LIMIT_H_
#define REQUEST_TEAM_LIMIT_H_

#include <atomic>
#include <cstdint>
#include <span>
#include <vector>

#include "core/millis.h"

namespace peridotarch {

/// One node's share of a team's limit over the whole fleet: a lock-free token
/// bucket in one atomic word.
class team_bucket {
 public:
  /// Takes the limit of the whole fleet: `rate` requests a second and `burst`
  /// requests at once, both above zero. The share starts at one.
  team_bucket(int rate, int burst);

  /// Sets this node's share of the limit, in (0, 1].
  void SetShare(double share, millis now);

  /// Returns whether the bucket enforces this limit of the whole fleet.
  [[nodiscard]] bool HasLimit(int rate, int burst) const {
    return rate == rate_ && burst == burst_;
  }

  /// Charges one request; returns false if the team is above its share.
  bool Charge(millis now);

  /// Returns the requests charged or refused since the last call.
  uint64_t TakeDemand();

  /// Returns the time after which a refused request would pass.
  [[nodiscard]] millis RetryAfter(millis now) const;

 private:
  const int rate_;
  const int burst_;
  /// Time between requests at the full rate.
  std::atomic<int64_t> interval_us_ = 0;
  /// How far ahead of the rate requests may run.
  std::atomic<int64_t> tolerance_us_ = 0;
  std::atomic<int64_t> full_at_us_ = 0;  ///< When the bucket is full again.
  std::atomic<uint64_t> demand_ = 0;
};

/// Returns the share of a node with `own` of the fleet's `total` requests in
/// the last period. The shares of all nodes add up to one.
double ShareByDemand(double own, double total, int nodes);

/// Divides a team's limit among the nodes by their requests in the last period;
/// the shares add up to one. Run by the team's home node.
std::vector<double> DivideByDemand(std::span<const uint64_t> demand);

/// Returns the share of a node that has not heard from the team's home node.
double EqualShare(int nodes);

}  // namespace peridotarch

#endif  // REQUEST_TEAM_LIMIT_H_
