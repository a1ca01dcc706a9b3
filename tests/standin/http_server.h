#ifndef STANDIN_HTTP_SERVER_H_
#define STANDIN_HTTP_SERVER_H_

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "standin/answer.h"
#include "standin/asio.h"

namespace peridotarch::standin {

/// A handler of requests. `Deaf` says that nothing may be read for now.
template <typename T>
concept request_handler = requires(T handler, const request& message) {
  { handler.Handle(message) } -> std::same_as<asio::awaitable<answer>>;
  { handler.Deaf() } -> std::same_as<bool>;
};

/// Sends `reply` on `socket`; returns whether the connection stays usable.
asio::awaitable<bool> SendAnswer(tcp::socket& socket, const request& message,
                                 const answer& reply);

/// A small HTTP/1.1 server whose connections can be closed at will. Runs on
/// one thread.
template <typename Handler>
class http_server {
 public:
  http_server(asio::io_context& context, Handler& handler)
      : context_(context), handler_(handler), acceptor_(context) {}

  /// Listens on `address`:`port` (0 for any) and returns the port; throws
  /// boost::system::system_error.
  uint16_t Open(const std::string& address, uint16_t port) {
    // Here and not on the class: a handler may own its server.
    static_assert(request_handler<Handler>);
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, AcceptLoop(), asio::detached);
    return acceptor_.local_endpoint().port();
  }

  /// Refuses new connections; those that are open go on.
  void Close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  /// Closes the connections that carry no request.
  void CloseIdle() {
    boost::system::error_code ignored;
    for (const auto& [socket, busy] : connections_) {
      if (!busy) {
        socket->shutdown(tcp::socket::shutdown_both, ignored);
      }
    }
  }

  /// Resets every open connection.
  void ResetConnections() {
    boost::system::error_code ignored;
    for (const auto& [socket, busy] : connections_) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  /// Limits the open connections; those above it are closed at once.
  void SetConnectionLimit(size_t limit) { limit_ = limit; }

  [[nodiscard]] bool open() const { return acceptor_.is_open(); }
  [[nodiscard]] size_t connections() const { return connections_.size(); }
  [[nodiscard]] uint64_t over_limit() const { return over_limit_; }

 private:
  using shared_socket = std::shared_ptr<tcp::socket>;

  asio::awaitable<void> AcceptLoop() {
    while (acceptor_.is_open()) {
      boost::system::error_code code;
      auto socket = std::make_shared<tcp::socket>(context_);
      co_await acceptor_.async_accept(*socket, Into(code));
      if (code) {
        if (code == asio::error::operation_aborted) {
          co_return;
        }
        co_await Sleep(millis(1));
        continue;
      }
      if (connections_.size() >= limit_) {
        ++over_limit_;
        continue;
      }
      socket->set_option(tcp::no_delay(true), code);
      connections_[socket] = false;
      asio::co_spawn(context_, Converse(socket), asio::detached);
    }
  }

  asio::awaitable<void> Converse(shared_socket socket) {
    try {
      co_await ServeRequests(*socket, connections_[socket]);
    } catch (const std::exception&) {
      // A broken connection ends this conversation only.
    }
    connections_.erase(socket);
  }

  asio::awaitable<void> ServeRequests(tcp::socket& socket, bool& busy) {
    beast::flat_buffer buffer;
    bool usable = true;
    while (usable) {
      if (buffer.size() == 0) {
        co_await socket.async_wait(tcp::socket::wait_read, asio::use_awaitable);
      }
      while (handler_.Deaf()) {
        co_await Sleep(kDeafPause);
      }
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBody);
      co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
      const request message = parser.release();
      busy = true;
      const answer reply = co_await handler_.Handle(message);
      usable = co_await SendAnswer(socket, message, reply);
      busy = false;
    }
  }

  static constexpr millis kDeafPause{20};
  static constexpr uint64_t kMaxBody = 64ull << 20;

  asio::io_context& context_;
  Handler& handler_;
  tcp::acceptor acceptor_;
  std::map<shared_socket, bool> connections_;  // Whether it carries a request.
  size_t limit_ = std::numeric_limits<size_t>::max();
  uint64_t over_limit_ = 0;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_HTTP_SERVER_H_
