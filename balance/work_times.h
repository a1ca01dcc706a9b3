#ifndef BALANCE_WORK_TIMES_H_
#define BALANCE_WORK_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "core/millis.h"

namespace peridotarch {

/// Estimates of the work times of one service's requests, in ms. Routes of one
/// service may differ widely: some answer in 3 ms and others in a second.
class work_times {
 public:
  /// Notes a request for the route. `objective` gives the first estimate.
  void NoteRequest(uint32_t route, millis objective);
  /// Records the work time of a good answer.
  void NoteWork(uint32_t route, millis work);

  /// Returns the mean work time of the route's requests.
  [[nodiscard]] double MeanOf(uint32_t route) const;
  /// Returns the mean work time of the requests that occupy a slot. Long ones
  /// occupy it for longer, so routes count by their work times.
  [[nodiscard]] double MeanInSlot() const { return mean_in_slot_; }
  /// Returns the mean latency objective of the requests.
  [[nodiscard]] double MeanObjective() const { return mean_objective_; }

 private:
  /// A mean over all samples at first, later one that follows changes.
  struct moving_mean {
    double value = 0;
    int samples = 0;
  };

  std::unordered_map<uint32_t, moving_mean> by_route_;
  double mean_in_slot_ = 0;
  double mean_objective_ = 0;
};

}  // namespace peridotarch

#endif  // BALANCE_WORK_TIMES_H_
