#ifndef PROXY_WAIT_CELL_H_
#define PROXY_WAIT_CELL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "platform/awaitable.h"

namespace peridotarch {

/// A value that one coroutine waits for and another sets, both on one strand.
template <typename T>
class wait_cell {
 public:
  explicit wait_cell(const boost::asio::any_io_executor& strand)
      : timer_(strand, boost::asio::steady_timer::time_point::max()) {}

  /// Sets the value and wakes the waiter.
  void Set(T value) {
    value_ = std::move(value);
    timer_.cancel();
  }

  /// Waits for the value.
  awaitable<T> Wait() {
    while (!value_) {
      boost::system::error_code woken;
      co_await timer_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    co_return std::move(*value_);
  }

 private:
  boost::asio::steady_timer timer_;
  std::optional<T> value_;
};

}  // namespace peridotarch

#endif  // PROXY_WAIT_CELL_H_
