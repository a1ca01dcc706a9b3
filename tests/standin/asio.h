#ifndef STANDIN_ASIO_H_
#define STANDIN_ASIO_H_

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>

#include "core/millis.h"

namespace peridotarch::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Completion token that reports an error through `code`.
inline auto Into(boost::system::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

/// Suspends the coroutine for `span`.
inline asio::awaitable<void> Sleep(millis span) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(span.count()));
  boost::system::error_code ignored;
  co_await timer.async_wait(Into(ignored));
}

}  // namespace peridotarch::standin

#endif  // STANDIN_ASIO_H_
