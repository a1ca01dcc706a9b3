#ifndef PROXY_PEER_SESSION_H_
#define PROXY_PEER_SESSION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "platform/awaitable.h"

namespace peridotarch {

class control;
struct node;

/// Serves one connection to the inner port: forwarded requests and JSON-RPC
/// with marks, the metrics without.
awaitable<void> ServePeer(std::shared_ptr<node> here,
                          std::shared_ptr<control> loops,
                          boost::beast::tcp_stream stream);

}  // namespace peridotarch

#endif  // PROXY_PEER_SESSION_H_
