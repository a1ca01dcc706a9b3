#include "proxy/http_session.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "platform/to_chrono.h"
#include "proxy/message.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t kFirstRead = 4096;
constexpr size_t kBodyRead = 64 << 10;
// The usual size at the start of a connection. The system doubles it.
constexpr int kReceiveBuffer = 64 << 10;
constexpr size_t kDiscardRead = 16 << 10;
// How long the other side may take to read the last answer and to close.
constexpr millis kCloseTimeout(1'000);
constexpr int kHttp11 = 11;

read_outcome Refused(reason why) {
  read_outcome outcome;
  outcome.refused = why;
  return outcome;
}

read_outcome OutcomeOf(const error_code& failure) {
  read_outcome outcome;
  outcome.refused = RefusalFor(failure);
  return outcome;
}

}  // namespace

// The buffer is full when a trailer section or the extension of a chunk does
// not end, since the parser needs the whole of either.
std::optional<reason> RefusalFor(const error_code& failure) {
  if (failure == http::error::header_limit ||
      failure == http::error::buffer_overflow) {
    return reason::kHeadersTooLarge;
  }
  if (failure == http::error::body_limit) {
    return reason::kTooLarge;
  }
  if (failure == beast::error::timeout) {
    return reason::kRequestTimeout;
  }
  if (failure == http::error::end_of_stream ||
      failure == http::error::partial_message ||
      failure.category() != http::make_error_code(http::error{}).category()) {
    return std::nullopt;
  }
  return reason::kBadRequest;
}

http_session::http_session(beast::tcp_stream stream)
    : stream_(std::move(stream)) {
  SetReceiveBuffer(kReceiveBuffer);
}

// With a size that is set, the system no longer adapts it. It would grow the
// buffer of a single connection to many megabytes.
void http_session::SetReceiveBuffer(int bytes) {
  error_code ignored;
  stream_.socket().set_option(asio::socket_base::receive_buffer_size(bytes),
                              ignored);
}

awaitable<bool> http_session::WaitForBytes(std::optional<millis> limit) {
  if (buffer_.size() > 0) {
    co_return true;
  }
  error_code failure;
  stream_.expires_never();
  if (limit) {
    stream_.expires_after(ToChrono(*limit));
  }
  is_waiting_ = true;
  const size_t got = co_await stream_.async_read_some(
      buffer_.prepare(kFirstRead),
      asio::redirect_error(asio::use_awaitable, failure));
  is_waiting_ = false;
  buffer_.commit(got);
  received_at_ = boot_clock::Now();
  co_return !failure;
}

void http_session::CloseIfNotServing() {
  if (is_waiting_ || is_reading_) {
    stream_.close();
  }
}

void http_session::AbortRead() {
  if (is_reading_) {
    stream_.cancel();
  }
}

awaitable<bool> http_session::DiscardBytes() {
  error_code failure;
  buffer_.clear();
  stream_.expires_never();
  co_await stream_.async_read_some(
      buffer_.prepare(kFirstRead),
      asio::redirect_error(asio::use_awaitable, failure));
  co_return !failure;
}

// A pipelined request that was received together with the one before it has
// waited since then.
awaitable<read_outcome> http_session::Read(read_limits limits) {
  BoundBuffer(limits, kBodyRead);
  const bool is_pipelined = buffer_.size() > 0;
  read_outcome outcome = co_await ReadHead(limits);
  const millis now = boot_clock::Now();
  outcome.arrived_at = is_pipelined ? received_at_ : now;
  received_at_ = now;
  co_return outcome;
}

awaitable<read_outcome> http_session::ReadHead(const read_limits& limits) {
  error_code failure;
  if (buffer_.size() == 0) {
    stream_.expires_after(ToChrono(limits.idle));
    const size_t got = co_await stream_.async_read_some(
        buffer_.prepare(kFirstRead),
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return read_outcome{};
    }
    buffer_.commit(got);
  }
  stream_.expires_after(ToChrono(limits.head_timeout));
  http::request_parser<http::empty_body> head;
  head.header_limit(limits.header_bytes);
  head.body_limit(limits.body_bytes);
  co_await http::async_read_header(
      stream_, buffer_, head,
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return OutcomeOf(failure);
  }
  if (const auto why = CheckHead(head.get())) {
    co_return Refused(*why);
  }
  co_return co_await ReadBody(head, limits);
}

// A buffer that holds more already, since the limit was higher before, is full.
void http_session::BoundBuffer(const read_limits& limits, size_t more) {
  buffer_.max_size(
      std::max<size_t>(size_t{limits.header_bytes} + more, buffer_.size()));
}

// The client takes an informational answer for the next one that it waits for,
// and a stream bears one write at a time. Both ask for the answers before it to
// be written first.
awaitable<bool> http_session::WriteContinue(const head_parser& head) {
  if (!beast::iequals(head.get()[http::field::expect], "100-continue") ||
      buffer_.size() > 0) {
    co_return true;
  }
  auto step = continue_step::kWrite;
  if (gate_) {
    step = co_await gate_();
  }
  if (step != continue_step::kWrite) {
    co_return step == continue_step::kOmit;
  }
  error_code failure;
  http::response<http::empty_body> go_on(http::status::continue_, kHttp11);
  stream_.expires_after(ToChrono(kWriteTimeout));
  co_await http::async_write(
      stream_, go_on, asio::redirect_error(asio::use_awaitable, failure));
  co_return !failure;
}

awaitable<read_outcome> http_session::ReadBody(head_parser& head,
                                               const read_limits& limits) {
  error_code failure;
  if (!co_await WriteContinue(head)) {
    co_return read_outcome{};
  }
  stream_.expires_after(ToChrono(limits.body_timeout));
  http::request_parser<http::string_body> whole(std::move(head));
  whole.body_limit(limits.body_bytes);
  co_await http::async_read(stream_, buffer_, whole,
                            asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return OutcomeOf(failure);
  }
  read_outcome outcome;
  outcome.request = whole.release();
  outcome.request->erase(http::field::expect);
  co_return outcome;
}

awaitable<bool> http_session::Write(http_response reply, bool keep_alive,
                                    millis pause) {
  reply.keep_alive(keep_alive);
  const auto end = std::chrono::steady_clock::now() + ToChrono(kWriteTimeout);
  http::response_serializer<http::string_body> serializer(reply);
  error_code failure;
  while (!failure && !serializer.is_done()) {
    const auto pause_end = std::chrono::steady_clock::now() + ToChrono(pause);
    stream_.expires_at(std::min(end, pause_end));
    co_await http::async_write_some(
        stream_, serializer,
        asio::redirect_error(asio::use_awaitable, failure));
  }
  co_return !failure && keep_alive;
}

// Closing a socket with unread bytes resets the connection, and the reset may
// overtake the last answer.
awaitable<void> http_session::CloseAfterDelivery() {
  error_code failure;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  buffer_.clear();
  // What is not read takes memory too.
  SetReceiveBuffer(kDiscardRead);
  buffer_.max_size(kDiscardRead);
  stream_.expires_after(ToChrono(kCloseTimeout));
  while (!failure) {
    co_await stream_.async_read_some(
        buffer_.prepare(kDiscardRead),
        asio::redirect_error(asio::use_awaitable, failure));
  }
  stream_.close();
}

void http_session::Close() {
  error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.close();
}

}  // namespace peridotarch
