#include "proxy/connect.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform/to_chrono.h"

namespace peridotarch {

namespace asio = boost::asio;

awaitable<bool> ConnectTo(boost::beast::tcp_stream& stream,
                          const std::string& address, uint16_t port,
                          millis limit) {
  const asio::ip::tcp::endpoint remote(asio::ip::make_address(address), port);
  stream.expires_after(ToChrono(limit));
  boost::system::error_code failure;
  co_await stream.async_connect(
      remote, asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
  }
  co_return !failure;
}

}  // namespace peridotarch
