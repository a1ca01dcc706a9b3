#ifndef FRONT_CALLER_SESSION_H_
#define FRONT_CALLER_SESSION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "front/front_node.h"
#include "platform/awaitable.h"
#include "proxy/http_session.h"

namespace peridotarch {

struct caller_request;

/// One accepted connection of a caller; serves its requests in order.
class caller_session {
 public:
  caller_session(std::shared_ptr<front_node> node,
                 boost::beast::tcp_stream stream);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  /// Serves until the connection ends.
  awaitable<void> Serve();

  /// Closes the connection if no request is being read or served.
  void CloseIfIdle();

 private:
  awaitable<http_response> HandleRequest(http_request request);
  void WatchForDisconnect(const std::shared_ptr<caller_request>& state);
  [[nodiscard]] read_limits MakeReadLimits() const;

  const std::shared_ptr<front_node> node_;
  http_session session_;
  bool is_idle_ = true;
  bool is_closed_while_idle_ = false;  ///< By CloseIfIdle.
};

/// Serves one accepted connection.
awaitable<void> ServeCallerConnection(std::shared_ptr<front_node> node,
                                      boost::beast::tcp_stream stream);

}  // namespace peridotarch

#endif  // FRONT_CALLER_SESSION_H_
