#ifndef BALANCE_RETRY_WINDOW_H_
#define BALANCE_RETRY_WINDOW_H_

#include <deque>

#include "core/millis.h"

namespace peridotarch {

/// The fleet's bound on repeated sends to one service, in any window.
struct retry_bound {
  double ratio = 0.1;  ///< Of the service's requests in the window.
  double slack = 0;    ///< More, for the whole fleet.
  millis window = millis(10'000);
};

/// One node's part of a service's retry budget: the ratio of its own requests
/// and an equal share of the slack. The parts of all nodes together stay
/// within the bound without a message.
class retry_window {
 public:
  explicit retry_window(retry_bound bound) : bound_(bound) {}

  /// Counts a caller's request for the service.
  void NoteRequest(millis now);

  /// Takes one retry; false when the part is used up. `nodes` is the number
  /// of nodes that may be sending.
  bool TakeRetry(int nodes, millis now);

 private:
  void Forget(millis now);

  const retry_bound bound_;
  std::deque<millis> requests_;
  std::deque<millis> retries_;
};

}  // namespace peridotarch

#endif  // BALANCE_RETRY_WINDOW_H_
