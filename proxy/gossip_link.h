#ifndef PROXY_GOSSIP_LINK_H_
#define PROXY_GOSSIP_LINK_H_

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "detection/membership.h"
#include "inner/gossip.h"
#include "inner/seal.h"
#include "platform/awaitable.h"
#include "proxy/executor.h"

namespace peridotarch {

struct node;

/// The UDP socket of the fleet's gossip: stamps, seals and sends; opens and
/// hands over what was received. Runs on the control strand.
class gossip_link {
 public:
  using handler = std::function<void(const gossip_message&)>;

  gossip_link(node& here, const strand& control);

  /// Sends the messages of membership's actions.
  void Send(std::vector<outgoing_gossip> actions);

  /// Receives until the socket is closed.
  awaitable<void> Receive(handler on_message);

  /// Closes the socket.
  void Close();

 private:
  void Open(std::string_view datagram, const handler& on_message);

  node& node_;
  boost::asio::ip::udp::socket socket_;
  sealer sealer_;
  unsealer unsealer_;
};

}  // namespace peridotarch

#endif  // PROXY_GOSSIP_LINK_H_
