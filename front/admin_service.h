#ifndef FRONT_ADMIN_SERVICE_H_
#define FRONT_ADMIN_SERVICE_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "front/front_node.h"
#include "platform/awaitable.h"

namespace peridotarch {

class http_session;

/// Serves the balancer's readiness checks, metrics scrapes, and reads of the
/// store's records by other nodes. The connections of the ports share a limit
/// on their number; beyond it the one that has been idle for the longest time
/// is closed.
class admin_service {
 public:
  admin_service(std::shared_ptr<front_node> node, size_t max_connections)
      : node_(std::move(node)), max_connections_(max_connections) {}

  /// Serves one accepted connection. The object lives until its end.
  awaitable<void> Serve(boost::beast::tcp_stream stream);

  [[nodiscard]] size_t open_connections() const { return open_connections_; }

 private:
  awaitable<void> ServeRequests(http_session& session);
  /// Returns whether there is room for one more connection.
  bool MakeRoom();

  const std::shared_ptr<front_node> node_;
  const size_t max_connections_;
  size_t open_connections_ = 0;
  /// Those that wait for a request, the one that waits longest first.
  std::list<http_session*> idle_;
};

}  // namespace peridotarch

#endif  // FRONT_ADMIN_SERVICE_H_
