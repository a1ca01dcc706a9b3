#include "proxy/listener.h"

#include <boost/asio/ip/address.hpp>
#include <string>

#include "core/error.h"
#include "platform/endpoint.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::acceptor Listen(asio::io_context& context, const host_port& at,
                     int backlog) {
  tcp::acceptor acceptor(context);
  try {
    const tcp::endpoint local(asio::ip::make_address(at.host), at.port);
    acceptor.open(local.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen(backlog);
  } catch (const boost::system::system_error& failure) {
    throw settings_error("cannot listen on " + ToText({at.host, at.port}) +
                         ": " + failure.what());
  }
  return acceptor;
}

}  // namespace peridotarch
