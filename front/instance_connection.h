#ifndef FRONT_INSTANCE_CONNECTION_H_
#define FRONT_INSTANCE_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "core/millis.h"
#include "platform/block_body.h"
#include "platform/http_client.h"

namespace peridotarch {

/// How far the request on a connection has been written.
enum class request_sending {
  kNotStarted,
  kUnderWay,  ///< A part may have been written.
  kDone,      ///< All of it, to the system's buffer.
  kFailed,    ///< The connection broke, or was closed.
};

/// One connection to an instance and the request that it carries.
class instance_connection {
 public:
  explicit instance_connection(boost::asio::io_context& context)
      : stream(context), buffer(kMaxBuffered) {}

  /// Bytes that are read but not parsed, such as a chunk header without end.
  static constexpr size_t kMaxBuffered = 256 << 10;

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  block_request request;
  request_sending sending = request_sending::kNotStarted;
  millis idle_since;
  /// Not reused when idle for longer. Shorter than the time after which the
  /// instance closes an idle connection.
  millis idle_timeout;
};

}  // namespace peridotarch

#endif  // FRONT_INSTANCE_CONNECTION_H_
