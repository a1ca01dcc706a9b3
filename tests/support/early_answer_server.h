#ifndef TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_
#define TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "core/millis.h"
#include "platform/awaitable.h"
#include "proxy/executor.h"

namespace peridotarch {

/// What a server does after an answer that it gives before it has read the
/// request's body.
enum class after_answer {
  kReset,           ///< Resets the connection.
  kClose,           ///< Closes it, with bytes of the body unread.
  kHalfClose,       ///< Ends its own direction and reads the body to its end.
  kHalfCloseStall,  ///< Ends its own direction and reads nothing more.
  kHalfCloseReset,  ///< The same, then resets the connection.
  kReadOn,          ///< Reads the body to its end and keeps the connection.
};

/// An answer that is sent before the request's body has been read.
struct early_answer {
  std::string bytes;
  after_answer then = after_answer::kReset;
  millis pause = millis(0);  ///< Between the two.
  size_t read_first = 0;     ///< Bytes of the body that are read before.
};

/// A server on loopback that answers each request as soon as it has read the
/// head. Its receive buffer is small, so that a long body cannot be written
/// whole unless it is read.
class early_answer_server {
 public:
  /// Returns the answer to a request with this head.
  using script = std::function<early_answer(const std::string& head)>;

  early_answer_server(boost::asio::io_context& context, script answer)
      : answer_(std::move(answer)), acceptor_(context) {
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), 0);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(kReceiveBuffer));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  [[nodiscard]] uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  using tcp = boost::asio::ip::tcp;

  static constexpr int kReceiveBuffer = 4096;

  awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      socket.set_option(tcp::no_delay(true));
      boost::asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  awaitable<void> Serve(tcp::socket socket) {
    boost::system::error_code failure;
    std::string received;
    const size_t head_bytes = co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(received), "\r\n\r\n",
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    const size_t body_bytes = received.size() - head_bytes;
    const early_answer answer = answer_(received.substr(0, head_bytes));
    if (answer.read_first > body_bytes) {
      co_await ReadBody(socket, answer.read_first - body_bytes);
    }
    co_await boost::asio::async_write(
        socket, boost::asio::buffer(answer.bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    if (answer.pause > millis(0)) {
      co_await Sleep(socket.get_executor(), answer.pause);
    }
    co_await End(socket, answer.then);
  }

  awaitable<void> End(tcp::socket& socket, after_answer then) {
    constexpr millis kStall(5'000);
    boost::system::error_code failure;
    const bool ends_own_direction = then == after_answer::kHalfClose ||
                                    then == after_answer::kHalfCloseStall ||
                                    then == after_answer::kHalfCloseReset;
    if (ends_own_direction) {
      socket.shutdown(tcp::socket::shutdown_send, failure);
    }
    if (then == after_answer::kHalfClose || then == after_answer::kReadOn) {
      co_await ReadBody(socket, UINT64_MAX);
    } else if (then == after_answer::kHalfCloseStall) {
      co_await Sleep(socket.get_executor(), kStall);
    } else if (then != after_answer::kClose) {
      // With a zero linger time, closing sends a reset.
      socket.set_option(tcp::socket::linger(true, 0), failure);
    }
    socket.close(failure);
  }

  // Reads as many bytes, or to the end of the connection.
  awaitable<void> ReadBody(tcp::socket& socket, uint64_t left) {
    std::array<char, 64 << 10> bytes{};
    boost::system::error_code failure;
    while (!failure && left > 0) {
      const size_t wanted = std::min<uint64_t>(bytes.size(), left);
      left -= co_await socket.async_read_some(
          boost::asio::buffer(bytes.data(), wanted),
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    }
  }

  const script answer_;
  tcp::acceptor acceptor_;
};

}  // namespace peridotarch

#endif  // TESTS_SUPPORT_EARLY_ANSWER_SERVER_H_
