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

constexpr millis kIdleMargin(2'000);  // past the idle time callers count on
constexpr millis kBodyTimeout(15'000);

// Returns whether the peer has closed or reset the connection; bytes of a next
// request leave it open.
bool HasLeft(int socket) {
  char byte = 0;
  const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

caller_session::caller_session(std::shared_ptr<front_node> here,
                               boost::beast::tcp_stream stream)
    : here_(std::move(here)), session_(std::move(stream)) {
  here_->sessions.insert(this);
}

caller_session::~caller_session() { here_->sessions.erase(this); }

void caller_session::CloseIfIdle() {
  if (idle_) {
    closed_ = true;
    session_.stream().close();
  }
}

read_limits caller_session::Limits() const {
  read_limits limits;
  caller_limits configured;
  if (const auto routes = here_->routes.Load()) {
    configured = routes->config().limits;
  }
  limits.idle = configured.idle_timeout + kIdleMargin;
  limits.head_timeout = configured.header_timeout;
  limits.body_timeout = kBodyTimeout;
  limits.header_bytes = static_cast<uint32_t>(configured.header_bytes);
  limits.body_bytes = configured.body_bytes;
  return limits;
}

void caller_session::WatchForLeaving(
    const std::shared_ptr<caller_request>& call) {
  auto& socket = session_.stream().socket();
  socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [call, &socket](const error_code& failure) {
        if (!failure && !call->finished && HasLeft(socket.native_handle())) {
          call->OnCallerLeft();
        }
      });
}

awaitable<http_response> caller_session::Answer(http_request request) {
  const auto call = std::make_shared<caller_request>();
  WatchForLeaving(call);
  http_response answer =
      co_await ServeRequest(*here_, std::move(request), *call);
  call->finished = true;
  error_code ignored;
  session_.stream().socket().cancel(ignored);
  co_return answer;
}

awaitable<void> caller_session::Serve() {
  for (;;) {
    idle_ = true;
    const read_limits limits = Limits();
    read_outcome read = co_await session_.Read(limits);
    idle_ = false;
    // The bytes of a request may have been read before the connection was
    // closed: nobody can be answered, so it is not passed on.
    if (closed_) {
      break;
    }
    if (!read.request) {
      if (read.refused) {
        const reply_rule rule = ReplyFor(*read.refused);
        here_->CountAnswer(*read.refused, millis(0));
        http_response refusal = OwnAnswer(
            rule.status, "", std::string(ToName(*read.refused)), millis(0));
        co_await session_.Write(std::move(refusal), false);
      }
      break;
    }
    ++here_->in_flight;
    const bool keep = read.request->keep_alive();
    http_response answer = co_await Answer(std::move(*read.request));
    const bool more =
        co_await session_.Write(std::move(answer), keep && !here_->draining);
    --here_->in_flight;
    if (!more) {
      break;
    }
  }
  session_.Close();
}

awaitable<void> ServeCallerConnection(std::shared_ptr<front_node> here,
                                      boost::beast::tcp_stream stream) {
  caller_session session(std::move(here), std::move(stream));
  co_await session.Serve();
}

}  // namespace peridotarch
