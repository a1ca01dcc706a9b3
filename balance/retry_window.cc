#include "balance/retry_window.h"

#include <algorithm>

namespace peridotarch {

namespace {

// A part of the bound is left for sends that another node does not know of,
// such as those of a process that ended and started within the window.
constexpr double kUsableShare = 0.8;

void DropBefore(std::deque<millis>& times, millis oldest) {
  while (!times.empty() && times.front() < oldest) {
    times.pop_front();
  }
}

}  // namespace

void retry_window::Forget(millis now) {
  DropBefore(requests_, now - bound_.window);
  DropBefore(retries_, now - bound_.window);
}

void retry_window::NoteRequest(millis now) {
  Forget(now);
  requests_.push_back(now);
}

bool retry_window::TakeRetry(int nodes, millis now) {
  Forget(now);
  const double own = bound_.ratio * static_cast<double>(requests_.size());
  const double share = bound_.slack / std::max(1, nodes);
  // A node with little traffic may still repeat one request a window where
  // the fleet's slack covers one for each node.
  const double least = share >= 1 ? 1 : 0;
  const double allowed = std::max(least, kUsableShare * (own + share));
  if (static_cast<double>(retries_.size()) + 1 > allowed) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

}  // namespace peridotarch
