#ifndef PROXY_CONNECT_H_
#define PROXY_CONNECT_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <string>

#include "core/millis.h"
#include "platform/http_client.h"

namespace peridotarch {

/// Connects a stream to an instance within `limit`, ready for small writes;
/// false when the instance could not be reached.
awaitable<bool> ConnectTo(boost::beast::tcp_stream& stream,
                          const std::string& address, uint16_t port,
                          millis limit);

}  // namespace peridotarch

#endif  // PROXY_CONNECT_H_
