#include "stopped_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <ctime>
#include <memory>

namespace peridotarch {
namespace {

constexpr int64_t kNanosPerSecond = 1'000'000'000;
constexpr int64_t kNanosPerMilli = 1'000'000;

// The clocks are ahead of the machine's by this much, so they never go back.
std::atomic<int64_t> ahead_ns = 0;
std::atomic<bool> is_stopped = false;
std::atomic<int64_t> stopped_at_ns = 0;

int64_t MachineNanos() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanosPerSecond + now.tv_nsec;
}

int64_t MonotonicNanos() {
  return is_stopped ? stopped_at_ns.load() : MachineNanos() + ahead_ns;
}

}  // namespace

stopped_clock::stopped_clock() {
  stopped_at_ns = MonotonicNanos();
  is_stopped = true;
}

stopped_clock::~stopped_clock() {
  ahead_ns = stopped_at_ns - MachineNanos();
  is_stopped = false;
}

// Asio looks for expired timers only when the kernel wakes it for the earliest
// one, so a timer that is earlier than all others is set.
void stopped_clock::Advance(boost::asio::io_context& context, millis span) {
  stopped_at_ns += span.count() * kNanosPerMilli;
  const auto earliest = std::make_shared<boost::asio::steady_timer>(
      context, boost::asio::steady_timer::time_point());
  earliest->async_wait([earliest](const auto& /*failure*/) {});
}

}  // namespace peridotarch

// Takes the place of the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  if (clock != CLOCK_MONOTONIC && clock != CLOCK_BOOTTIME) {
    return static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  }
  const int64_t nanos = peridotarch::MonotonicNanos();
  now->tv_sec = nanos / peridotarch::kNanosPerSecond;
  now->tv_nsec = nanos % peridotarch::kNanosPerSecond;
  return 0;
}
