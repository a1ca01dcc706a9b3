#ifndef PROXY_HTTP_SESSION_H_
#define PROXY_HTTP_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "core/millis.h"
#include "platform/awaitable.h"
#include "platform/http_client.h"
#include "proxy/call.h"
#include "proxy/message.h"

namespace peridotarch {

/// What a peer may send on a connection, and how slowly.
struct read_limits {
  millis idle;                           ///< For the first byte.
  millis head_timeout = millis(15'000);  ///< From there to the head's end.
  millis body_timeout = millis(15'000);  ///< From there to the body's end.
  uint32_t header_bytes = kMaxHeaderBytes;
  uint64_t body_bytes = kMaxBodyBytes;
};

/// What reading one request from a connection gave.
struct read_outcome {
  std::optional<http_request> request;  ///< A whole request.
  std::optional<reason> refused;        ///< Answer this, then close.
                                        ///< Neither: close without an answer.
  millis arrived_at;                    ///< When the request had arrived.
};

/// One accepted HTTP/1.1 connection.
class http_session {
 public:
  explicit http_session(boost::beast::tcp_stream stream);

  /// Waits without a limit for the first byte of the next request. Returns
  /// false if the connection has ended.
  awaitable<bool> WaitForBytes();

  /// Drops bytes as they arrive. Returns false if the connection has ended.
  awaitable<bool> DiscardBytes();

  /// Reads a request within the limits.
  awaitable<read_outcome> Read(read_limits limits);

  /// Writes a reply; returns false when the connection is of no more use.
  awaitable<bool> Write(http_response reply, bool keep_alive);

  /// Closes the connection in order.
  void Close();

  /// Closes the connection after the other side has received what was written.
  /// Bytes that still arrive are dropped.
  awaitable<void> CloseAfterDelivery();

  [[nodiscard]] boost::beast::tcp_stream& stream() { return stream_; }

 private:
  awaitable<read_outcome> ReadHead(const read_limits& limits);
  awaitable<read_outcome> ReadBody(
      boost::beast::http::request_parser<boost::beast::http::empty_body>& head,
      const read_limits& limits);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  millis received_at_;  ///< When the bytes in `buffer_` had been received.
};

}  // namespace peridotarch

#endif  // PROXY_HTTP_SESSION_H_
