#ifndef PROXY_WAIT_CELL_H_
#define PROXY_WAIT_CELL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "platform/awaitable.h"

namespace peridotarch {

/// A value that one coroutine waits for and another sets, both on one strand.
/// Copies share the value, so the setter does not refer to the waiter's frame.
template <typename T>
class wait_cell {
 public:
  explicit wait_cell(const boost::asio::any_io_executor& strand)
      : shared_(std::make_shared<shared_state>(strand)) {}

  /// Sets the value and wakes the waiter.
  void Set(T value) const {
    shared_->value = std::move(value);
    shared_->changed.cancel();
  }

  /// Waits for the value.
  awaitable<T> Wait() const {
    const auto shared = shared_;
    while (!shared->value) {
      boost::system::error_code woken;
      co_await shared->changed.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    co_return std::move(*shared->value);
  }

 private:
  struct shared_state {
    explicit shared_state(const boost::asio::any_io_executor& strand)
        : changed(strand, boost::asio::steady_timer::time_point::max()) {}

    boost::asio::steady_timer changed;  ///< Cancelled when the value is set.
    std::optional<T> value;
  };

  std::shared_ptr<shared_state> shared_;
};

}  // namespace peridotarch

#endif  // PROXY_WAIT_CELL_H_
