#ifndef FRONT_PEER_REPORTER_H_
#define FRONT_PEER_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "front/front_node.h"
#include "platform/awaitable.h"

namespace peridotarch {

/// Exchanges load reports with the other nodes over UDP.
class peer_reporter : public std::enable_shared_from_this<peer_reporter> {
 public:
  explicit peer_reporter(std::shared_ptr<front_node> here);

  /// Starts to report and to listen. `on_ahead` is called with the address
  /// of a peer that knows more of the store than this node.
  void Start(std::function<void(const std::string&)> on_ahead);
  /// Adds a node that announced itself in the store.
  void AddPeer(const host_port& peer);
  /// Sends a last report, which says that this node is leaving.
  void AnnounceLeaving();

 private:
  /// Who gets a report.
  enum class scope {
    kZone,        ///< Live nodes of the own availability zone.
    kOtherZones,  ///< Live nodes of the others, each zone through one.
    kLive,        ///< All live nodes.
    kAll,         ///< Silent ones as well.
  };
  struct peer {
    millis heard = millis(-1'000'000);
    uint16_t zone = 0;
    uint32_t key = 0;  ///< In reports that are passed on.
    bool leaving = false;
    bool reads_store = false;
  };
  /// A report that is due after a delay.
  struct delayed_report {
    boost::asio::steady_timer timer;
    bool armed = false;
  };

  awaitable<void> Receive();
  awaitable<void> Beat();
  void Changed(load_change change);
  void SendSoon(delayed_report& report, scope to, millis delay);
  std::string NextDatagram(scope to, millis now);
  void Send(scope to);
  /// Reports to a node that has just been learnt of or heard again.
  void Greet(const boost::asio::ip::udp::endpoint& at);
  peer& PeerAt(const boost::asio::ip::udp::endpoint& at);
  void SendTo(const boost::asio::ip::udp::endpoint& to,
              std::string_view datagram);
  void SendToEach(scope to, std::string_view datagram, millis now);
  void SendToRelays(std::string_view datagram, millis now);
  std::optional<boost::asio::ip::udp::endpoint> SenderOf(
      const boost::asio::ip::udp::endpoint& from, const load_report& report,
      std::string_view datagram);
  [[nodiscard]] bool Includes(scope to, const peer& known, millis now) const;
  void Take(const boost::asio::ip::udp::endpoint& from,
            std::string_view datagram);
  void CountNodes(millis now);
  [[nodiscard]] std::optional<std::string> ReadingPeer() const;
  [[nodiscard]] bool MustReadStore() const;
  [[nodiscard]] bool IsAhead(const load_report& report) const;

  const std::shared_ptr<front_node> here_;
  boost::asio::ip::udp::socket socket_;
  delayed_report near_;
  delayed_report far_;
  const uint16_t zone_;
  const uint32_t own_key_;
  uint32_t number_ = 0;
  std::map<boost::asio::ip::udp::endpoint, peer> peers_;
  std::unordered_map<uint32_t, boost::asio::ip::udp::endpoint> by_key_;
  std::function<void(const std::string&)> on_ahead_;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_REPORTER_H_
