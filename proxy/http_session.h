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
};

/// One accepted HTTP/1.1 connection.
class http_session {
 public:
  explicit http_session(boost::beast::tcp_stream stream);

  /// Reads a request within the limits.
  awaitable<read_outcome> Read(read_limits limits);

  /// Writes a reply; returns false when the connection is of no more use.
  awaitable<bool> Write(http_response reply, bool keep_alive);

  /// Closes the connection in order.
  void Close();

  [[nodiscard]] boost::beast::tcp_stream& stream() { return stream_; }

 private:
  awaitable<read_outcome> ReadBody(
      boost::beast::http::request_parser<boost::beast::http::empty_body>& head,
      const read_limits& limits);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace peridotarch

#endif  // PROXY_HTTP_SESSION_H_
