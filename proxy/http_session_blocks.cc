// Reads requests whose bodies are held in blocks.
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <utility>

#include "platform/to_chrono.h"
#include "proxy/http_session.h"
#include "proxy/message.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Beside the head, for what a reader of a body without a length may have taken.
constexpr size_t kBufferedBody = 4096;
// Of the session's coroutines and of the state of a request that is served.
constexpr uint64_t kRequestBytes = 4 << 10;
// Longer bodies get a buffer that carries 64 MiB in time over a round trip of
// 100 ms.
constexpr uint64_t kLongBody = 1 << 20;
constexpr int kLongReceiveBuffer = 256 << 10;
// A head is held by the request and by its attempt.
constexpr uint64_t kHeadCopies = 2;

block_read_outcome Refused(std::optional<reason> why) {
  block_read_outcome outcome;
  outcome.refused = why;
  return outcome;
}

error_code NoMemory() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

}  // namespace

awaitable<block_read_outcome> http_session::ReadInBlocks(
    read_limits limits, std::shared_ptr<memory_reservation> memory) {
  const bool is_pipelined = buffer_.size() > 0;
  BoundBuffer(limits, kBufferedBody);
  auto body = std::make_shared<body_blocks>(memory);
  is_reading_ = true;
  auto method = http::verb::unknown;
  block_read_outcome outcome =
      co_await ReadBlocks(limits, std::move(body), method);
  is_reading_ = false;
  if (memory->is_ended()) {
    outcome = Refused(reason::kMemoryShort);
  }
  outcome.method = method;
  if (buffer_.size() == 0 && buffer_.capacity() > kBufferedBody) {
    buffer_.shrink_to_fit();
  }
  const millis now = boot_clock::Now();
  outcome.arrived_at = is_pipelined ? received_at_ : now;
  received_at_ = now;
  co_return outcome;
}

awaitable<block_read_outcome> http_session::ReadBlocks(
    const read_limits& limits, std::shared_ptr<body_blocks> body,
    http::verb& method) {
  head_parser head;
  error_code failure = co_await ReadHeadInto(head, *body, limits);
  method = head.get().method();
  if (failure) {
    co_return Refused(RefusalFor(failure));
  }
  if (const auto why = CheckHead(head.get())) {
    co_return Refused(*why);
  }
  if (!co_await WriteContinue(head)) {
    co_return block_read_outcome{};
  }
  const uint64_t length = head.content_length().value_or(0);
  if (length > kLongBody) {
    SetReceiveBuffer(kLongReceiveBuffer);
  }
  // In a conditional expression GCC 12 would await both.
  if (head.chunked()) {
    failure = co_await ReadChunks(head, *body, limits);
  } else {
    failure = co_await ReadSized(*body, length, limits);
  }
  if (failure) {
    co_return Refused(RefusalFor(failure));
  }
  // Trailers have become a part of the head.
  const uint64_t head_bytes = HeadBytes(head.get()) * kHeadCopies;
  if (!body->SetHeadBytes(kRequestBytes + head_bytes, boot_clock::Now())) {
    co_return Refused(reason::kMemoryShort);
  }
  body->Complete();
  block_read_outcome outcome;
  outcome.request.emplace(std::move(head.get().base()));
  outcome.request->erase(http::field::expect);
  outcome.request->body() = std::move(body);
  co_return outcome;
}

awaitable<error_code> http_session::ReadHeadInto(head_parser& head,
                                                 body_blocks& body,
                                                 const read_limits& limits) {
  error_code failure;
  head.header_limit(limits.header_bytes);
  head.body_limit(limits.body_bytes);
  head.eager(false);
  stream_.expires_after(ToChrono(limits.head_timeout));
  while (!failure && !head.is_header_done()) {
    co_await http::async_read_some(
        stream_, buffer_, head,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !body.SetHeadBytes(kRequestBytes + buffer_.capacity(),
                                       boot_clock::Now())) {
      failure = NoMemory();
    }
  }
  if (!failure) {
    const uint64_t head_bytes = HeadBytes(head.get()) * kHeadCopies;
    const uint64_t bytes = kRequestBytes + buffer_.capacity() + head_bytes;
    failure =
        body.SetHeadBytes(bytes, boot_clock::Now()) ? failure : NoMemory();
  }
  co_return failure;
}

bool http_session::CountUnread(body_blocks& body) {
  error_code failure;
  const size_t unread = stream_.socket().available(failure);
  return body.SetUnreadBytes(failure ? 0 : unread, boot_clock::Now());
}

void http_session::SetBodyExpiry(time_point end, const read_limits& limits) {
  const time_point pause_end =
      std::chrono::steady_clock::now() + ToChrono(limits.body_pause);
  stream_.expires_at(std::min(end, pause_end));
}

// Bytes go from the socket into their blocks, except those that were received
// together with the head.
awaitable<error_code> http_session::ReadSized(body_blocks& body,
                                              uint64_t length,
                                              const read_limits& limits) {
  error_code failure;
  const time_point end =
      std::chrono::steady_clock::now() + ToChrono(limits.body_timeout);
  const auto buffered =
      static_cast<size_t>(std::min<uint64_t>(length, buffer_.size()));
  const auto* first = static_cast<const char*>(buffer_.data().data());
  if (!body.Append({first, buffered}, length, boot_clock::Now())) {
    co_return NoMemory();
  }
  buffer_.consume(buffered);
  uint64_t left = length - buffered;
  while (!failure && left > 0) {
    const auto space = body.Prepare(left, boot_clock::Now());
    if (space.empty()) {
      co_return NoMemory();
    }
    SetBodyExpiry(end, limits);
    const size_t got = co_await stream_.async_read_some(
        asio::buffer(space.data(), space.size()),
        asio::redirect_error(asio::use_awaitable, failure));
    body.Commit(got, boot_clock::Now());
    left -= got;
    if (got == space.size() && !CountUnread(body)) {
      co_return NoMemory();
    }
  }
  co_return failure;
}

awaitable<error_code> http_session::ReadChunks(head_parser& head,
                                               body_blocks& body,
                                               const read_limits& limits) {
  error_code failure;
  const time_point end =
      std::chrono::steady_clock::now() + ToChrono(limits.body_timeout);
  auto on_chunk = [&body](uint64_t /*left*/, std::string_view bytes,
                          error_code& refused) {
    if (!body.Append(bytes, UINT64_MAX, boot_clock::Now())) {
      refused = NoMemory();
    }
    return bytes.size();
  };
  head.on_chunk_body(on_chunk);
  head.eager(true);
  while (!failure && !head.is_done()) {
    SetBodyExpiry(end, limits);
    co_await http::async_read_some(
        stream_, buffer_, head,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !CountUnread(body)) {
      failure = NoMemory();
    }
    // While chunks arrive without a pause, the event loop completes the next
    // read before the stream's timer.
    const bool is_late = std::chrono::steady_clock::now() >= end;
    if (!failure && !head.is_done() && is_late) {
      failure = beast::error::timeout;
    }
  }
  co_return failure;
}

}  // namespace peridotarch
