#ifndef PROXY_CALLER_SESSION_H_
#define PROXY_CALLER_SESSION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "platform/awaitable.h"

namespace peridotarch {

struct node;

/// Serves one caller's connection until it closes. `GET /ready` answers the
/// balancer's check; every other target is looked up in the routes.
awaitable<void> ServeCaller(std::shared_ptr<node> here,
                            boost::beast::tcp_stream stream);

}  // namespace peridotarch

#endif  // PROXY_CALLER_SESSION_H_
