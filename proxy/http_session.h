#ifndef PROXY_HTTP_SESSION_H_
#define PROXY_HTTP_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "core/millis.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/http_client.h"
#include "proxy/call.h"
#include "proxy/message.h"

namespace peridotarch {

/// What a peer may send on a connection, and how slowly.
struct read_limits {
  millis idle;                           ///< For the first byte.
  millis head_timeout = millis(15'000);  ///< From there to the head's end.
  millis body_timeout = millis(15'000);  ///< From there to the body's end.
  /// Without a byte of a body that is read in blocks. A slow client that is
  /// still sending has a segment through well before.
  millis body_pause = millis(6'000);
  uint32_t header_bytes = kMaxHeaderBytes;
  uint64_t body_bytes = kMaxBodyBytes;
};

/// What reading one request from a connection gave.
template <typename Request>
struct basic_read_outcome {
  std::optional<Request> request;  ///< A whole request.
  std::optional<reason> refused;   ///< Answer this, then close.
                                   ///< Neither: close without an answer.
  millis arrived_at;               ///< When the request had arrived.
  /// Also of a refused request, if so much of it was read.
  boost::beast::http::verb method = boost::beast::http::verb::unknown;
};

using read_outcome = basic_read_outcome<http_request>;
using block_read_outcome = basic_read_outcome<block_request>;

/// Returns how to answer a request that could not be read. A connection that
/// ends or breaks gets no answer; a malformed request does.
std::optional<reason> RefusalFor(const boost::system::error_code& failure);

/// One accepted HTTP/1.1 connection.
class http_session {
 public:
  explicit http_session(boost::beast::tcp_stream stream);
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  /// What becomes of the 100 (Continue) that a request expects.
  enum class continue_step {
    kWrite,
    kOmit,  ///< Its body has begun to arrive, or the connection has ended.
    kStop,  ///< The request is not to be read any more.
  };
  using continue_gate = std::function<awaitable<continue_step>()>;
  /// Sets what is awaited before 100 (Continue) is written, for a session that
  /// reads requests while it writes answers to earlier ones.
  void SetContinueGate(continue_gate gate) { gate_ = std::move(gate); }

  /// Waits for the first byte of the next request, at most for `limit`. Returns
  /// false if the connection has ended.
  awaitable<bool> WaitForBytes(std::optional<millis> limit = std::nullopt);
  /// Closes the connection while it waits for a request or reads one in blocks.
  void CloseIfNotServing();

  /// Drops bytes as they arrive. Returns false if the connection has ended.
  awaitable<bool> DiscardBytes();

  /// Reads a request within the limits.
  awaitable<read_outcome> Read(read_limits limits);

  /// The same for a request whose bytes count for `memory` as they arrive; its
  /// first bytes have been read. The request is refused if the reservation
  /// ends. It holds the reservation until the end of its last copy.
  awaitable<block_read_outcome> ReadInBlocks(
      read_limits limits, std::shared_ptr<memory_reservation> memory);

  /// Ends the read of a request. Does nothing while a reply is written.
  void AbortRead();

  /// Writes a reply; returns false when the connection is of no more use. Ends
  /// when the other side has read nothing for `pause`.
  awaitable<bool> Write(http_response reply, bool keep_alive,
                        millis pause = kWriteTimeout);

  /// Closes the connection in order.
  void Close();

  /// Closes the connection after the other side has received what was written.
  /// Bytes that still arrive are dropped.
  awaitable<void> CloseAfterDelivery();

  [[nodiscard]] boost::beast::tcp_stream& stream() { return stream_; }

 private:
  static constexpr millis kWriteTimeout = millis(15'000);

  using head_parser =
      boost::beast::http::request_parser<boost::beast::http::empty_body>;
  using time_point = std::chrono::steady_clock::time_point;

  awaitable<read_outcome> ReadHead(const read_limits& limits);
  awaitable<read_outcome> ReadBody(head_parser& head,
                                   const read_limits& limits);
  /// Answers a request that expects 100 (Continue). Returns false if its body
  /// is not to be read.
  awaitable<bool> WriteContinue(const head_parser& head);
  /// Lets the buffer hold a head and `more` bytes.
  void BoundBuffer(const read_limits& limits, size_t more);
  /// Sets `method` once the head is read.
  awaitable<block_read_outcome> ReadBlocks(const read_limits& limits,
                                           std::shared_ptr<body_blocks> body,
                                           boost::beast::http::verb& method);
  awaitable<boost::system::error_code> ReadHeadInto(head_parser& head,
                                                    body_blocks& body,
                                                    const read_limits& limits);
  awaitable<boost::system::error_code> ReadSized(body_blocks& body,
                                                 uint64_t length,
                                                 const read_limits& limits);
  awaitable<boost::system::error_code> ReadChunks(head_parser& head,
                                                  body_blocks& body,
                                                  const read_limits& limits);
  /// Lets the system receive so many bytes before they are read.
  void SetReceiveBuffer(int bytes);
  /// Counts the bytes that were received and not read for the request. Returns
  /// false if its reservation has ended.
  bool CountUnread(body_blocks& body);
  void SetBodyExpiry(time_point end, const read_limits& limits);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  continue_gate gate_;
  millis received_at_;       ///< When the bytes in `buffer_` had been received.
  bool is_waiting_ = false;  ///< For the first byte of a request.
  bool is_reading_ = false;  ///< A request, in blocks.
};

}  // namespace peridotarch

#endif  // PROXY_HTTP_SESSION_H_
