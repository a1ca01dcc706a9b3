#include "core/invariant.h"

#include <atomic>
#include <string>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr size_t kInvariantCount = names_of<invariant>::kTable.size();

std::array<std::atomic<uint64_t>, kInvariantCount> breaches;
std::atomic<bool> breaches_fatal = false;

}  // namespace

// A proxy that has found its own promise broken still serves better than one
// that aborts with requests in flight, so a daemon counts and tests stop.
void Check(bool holds, invariant which) {
  if (holds) {
    return;
  }
  breaches[static_cast<size_t>(which)].fetch_add(1, std::memory_order_relaxed);
  if (breaches_fatal.load(std::memory_order_relaxed)) {
    throw invariant_error("invariant broken: " + std::string(ToName(which)));
  }
}

uint64_t Breaches(invariant which) {
  return breaches[static_cast<size_t>(which)].load(std::memory_order_relaxed);
}

void SetBreachesFatal(bool fatal) {
  breaches_fatal.store(fatal, std::memory_order_relaxed);
}

}  // namespace peridotarch
