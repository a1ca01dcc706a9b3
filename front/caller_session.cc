#include "front/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <utility>

#include "front/caller_request.h"
#include "platform/call_wire.h"

namespace peridotarch {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Added to the idle timeout that callers rely on.
constexpr millis kIdleMargin(2'000);
constexpr millis kBodyTimeout(15'000);

// Returns whether the caller has closed or reset the connection. Bytes of the
// next request do not count as a disconnect.
bool HasDisconnected(int socket) {
  char byte = 0;
  const auto received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

caller_session::caller_session(std::shared_ptr<front_node> node,
                               boost::beast::tcp_stream stream)
    : node_(std::move(node)), session_(std::move(stream)) {
  node_->sessions.insert(this);
}

caller_session::~caller_session() { node_->sessions.erase(this); }

void caller_session::CloseIfIdle() {
  if (is_idle_) {
    is_closed_while_idle_ = true;
    session_.stream().close();
  }
}

read_limits caller_session::MakeReadLimits() const {
  read_limits limits;
  caller_limits configured;
  if (const auto routes = node_->routes.Load()) {
    configured = routes->config().limits;
  }
  limits.idle = configured.idle_timeout + kIdleMargin;
  limits.head_timeout = configured.header_timeout;
  limits.body_timeout = kBodyTimeout;
  limits.header_bytes = static_cast<uint32_t>(configured.header_bytes);
  limits.body_bytes = configured.body_bytes;
  return limits;
}

void caller_session::WatchForDisconnect(
    const std::shared_ptr<caller_request>& state) {
  auto& socket = session_.stream().socket();
  socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [state, &socket](const error_code& failure) {
                      if (!failure && !state->finished &&
                          HasDisconnected(socket.native_handle())) {
                        state->OnCallerLeft();
                      }
                    });
}

awaitable<http_response> caller_session::HandleRequest(http_request request) {
  const auto state = std::make_shared<caller_request>();
  WatchForDisconnect(state);
  http_response answer =
      co_await ServeRequest(*node_, std::move(request), *state);
  state->finished = true;
  error_code ignored;
  session_.stream().socket().cancel(ignored);
  co_return answer;
}

awaitable<void> caller_session::Serve() {
  for (;;) {
    is_idle_ = true;
    const read_limits limits = MakeReadLimits();
    read_outcome read = co_await session_.Read(limits);
    is_idle_ = false;
    // CloseIfIdle may run after the bytes of a request were read and before
    // this coroutine resumed. The caller can no longer be answered, so the
    // request is not sent to an instance.
    if (is_closed_while_idle_) {
      break;
    }
    if (!read.request) {
      if (read.refused) {
        const reply_rule rule = ReplyFor(*read.refused);
        node_->CountAnswer(*read.refused, millis(0));
        http_response refusal = OwnAnswer(
            rule.status, "", std::string(ToName(*read.refused)), millis(0));
        co_await session_.Write(std::move(refusal), false);
      }
      break;
    }
    ++node_->in_flight;
    const bool keep_alive = read.request->keep_alive();
    http_response answer = co_await HandleRequest(std::move(*read.request));
    const bool stays_open = co_await session_.Write(
        std::move(answer), keep_alive && !node_->draining);
    --node_->in_flight;
    if (!stays_open) {
      break;
    }
  }
  session_.Close();
}

awaitable<void> ServeCallerConnection(std::shared_ptr<front_node> node,
                                      boost::beast::tcp_stream stream) {
  caller_session session(std::move(node), std::move(stream));
  co_await session.Serve();
}

}  // namespace peridotarch
