#ifndef PROXY_GUARDED_TIMER_H_
#define PROXY_GUARDED_TIMER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "core/millis.h"
#include "platform/to_chrono.h"

namespace peridotarch {

/// Calls a function once after a delay. The timer owns the function: it is
/// never called after the timer has been stopped, started anew or destroyed, so
/// it may refer to whatever outlives the timer. Used on one strand.
class guarded_timer {
 public:
  explicit guarded_timer(const boost::asio::any_io_executor& strand)
      : timer_(strand) {}
  guarded_timer(const guarded_timer&) = delete;
  guarded_timer& operator=(const guarded_timer&) = delete;

  /// Calls `action` after `delay`, in place of an action that is still due.
  void Start(millis delay, std::function<void()> action) {
    action_ = std::make_shared<std::function<void()>>(std::move(action));
    timer_.expires_after(ToChrono(delay));
    // Asio calls a handler that is already queued in spite of a cancellation,
    // so the handler does not count on the timer.
    timer_.async_wait(
        [this, due = std::weak_ptr(action_)](const auto& /*failure*/) {
          if (const auto action = due.lock()) {
            action_.reset();
            (*action)();
          }
        });
  }

  /// Drops the action. Returns whether it was still due.
  bool Stop() {
    const bool was_due = action_ != nullptr;
    action_.reset();
    timer_.cancel();
    return was_due;
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::function<void()>> action_;  ///< Null if none is due.
};

}  // namespace peridotarch

#endif  // PROXY_GUARDED_TIMER_H_
