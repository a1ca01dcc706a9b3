#ifndef PROXY_EXECUTOR_H_
#define PROXY_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/millis.h"
#include "platform/awaitable.h"
#include "platform/to_chrono.h"

namespace peridotarch {

/// Runs its work one piece after another, on any of the process's threads.
using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// Suspends the calling coroutine, which runs on `on`, for a span of time.
inline awaitable<void> Sleep(const boost::asio::any_io_executor& on,
                             millis span) {
  boost::asio::steady_timer timer(on, ToChrono(span));
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace peridotarch

#endif  // PROXY_EXECUTOR_H_
