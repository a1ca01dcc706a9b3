#ifndef FRONT_PEER_LINK_H_
#define FRONT_PEER_LINK_H_

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

#include "front/front_node.h"
#include "platform/awaitable.h"

namespace peridotarch {

/// Exchanges load reports with the other nodes over UDP.
class peer_link {
 public:
  explicit peer_link(std::shared_ptr<front_node> here);

  /// Starts to report and to listen. `on_newer_config` is called when a peer
  /// has a newer configuration than this node.
  void Start(std::function<void()> on_newer_config);
  /// Adds a node that announced itself in the store.
  void AddPeer(const host_port& peer);
  /// Sends a last report, which says that this node is leaving.
  void SayLeaving();

 private:
  struct peer {
    boost::asio::ip::udp::endpoint at;
    millis heard;
    bool leaving = false;
  };

  awaitable<void> Receive();
  awaitable<void> Beat();
  void Changed(bool at_once);
  void Send(bool to_all);
  void Take(const boost::asio::ip::udp::endpoint& from,
            std::string_view datagram);
  void CountNodes(millis now);

  const std::shared_ptr<front_node> here_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer delay_;
  bool delayed_ = false;
  millis sent_at_;
  uint32_t number_ = 0;
  std::map<boost::asio::ip::udp::endpoint, peer> peers_;
  std::function<void()> on_newer_config_;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_LINK_H_
