#ifndef PROXY_LISTENER_H_
#define PROXY_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/host_port.h"

namespace peridotarch {

/// Listens on an address with at most `backlog` connections that wait to be
/// accepted; throws settings_error that names the address.
boost::asio::ip::tcp::acceptor Listen(boost::asio::io_context& context,
                                      const host_port& at, int backlog);

}  // namespace peridotarch

#endif  // PROXY_LISTENER_H_
