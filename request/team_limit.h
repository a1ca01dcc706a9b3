#ifndef REQUEST_TEAM_LIMIT_H_
#define REQUEST_TEAM_LIMIT_H_

#include <atomic>
#include <cstdint>
#include <span>
#include <vector>

#include "core/millis.h"

namespace peridotarch {

/// One node's part of a team's limit over the whole fleet: a token bucket in
/// one atomic word, without a lock.
class team_bucket {
 public:
  /// The whole fleet's limit: `rate` a second, `burst` at once; both above
  /// zero. The share starts at one.
  team_bucket(int rate, int burst);

  /// Sets this node's share of the limit, in (0, 1].
  void SetShare(double share, millis now);

  /// Returns whether this is the bucket of such a limit.
  [[nodiscard]] bool HasLimit(int rate, int burst) const {
    return rate == rate_ && burst == burst_;
  }

  /// Charges one request; false when the team is above its part.
  bool Charge(millis now);

  /// Returns the requests charged or refused since the last call.
  uint64_t TakeDemand();

  /// Returns after which time a refused request would pass.
  [[nodiscard]] millis RetryAfter(millis now) const;

 private:
  const int rate_;
  const int burst_;
  std::atomic<int64_t> interval_us_ =
      0;  ///< Between requests at the full rate.
  std::atomic<int64_t> tolerance_us_ =
      0;                              ///< How far ahead of time one may run.
  std::atomic<int64_t> next_us_ = 0;  ///< When the bucket is full again.
  std::atomic<uint64_t> demand_ = 0;
};

/// Divides a team's limit among the nodes by what they were asked for in the
/// last period; the shares add up to one. Run by the team's home node.
std::vector<double> DivideByDemand(std::span<const uint64_t> demand);

/// Returns the share of a node that has not heard from the team's home node.
double EqualShare(int nodes);

}  // namespace peridotarch

#endif  // REQUEST_TEAM_LIMIT_H_
