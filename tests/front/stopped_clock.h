#ifndef TESTS_FRONT_STOPPED_CLOCK_H_
#define TESTS_FRONT_STOPPED_CLOCK_H_

#include <boost/asio/io_context.hpp>

#include "core/millis.h"

namespace peridotarch {

/// While one exists, the monotonic clocks of this program stand still, and go
/// forward only when they are told to. One at a time, in one thread.
class stopped_clock {
 public:
  stopped_clock();
  ~stopped_clock();
  stopped_clock(const stopped_clock&) = delete;
  stopped_clock& operator=(const stopped_clock&) = delete;

  /// Moves the clocks forward. The timers of `context` that expire are ready in
  /// the next turn of its event loop.
  void Advance(boost::asio::io_context& context, millis span);
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_STOPPED_CLOCK_H_
