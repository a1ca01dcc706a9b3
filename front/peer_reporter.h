#ifndef FRONT_PEER_REPORTER_H_
#define FRONT_PEER_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balance/heartbeat_schedule.h"
#include "balance/node_ring.h"
#include "balance/reader_choice.h"
#include "balance/reader_duty.h"
#include "balance/report_pace.h"
#include "front/front_node.h"
#include "front/peer_ahead.h"
#include "platform/awaitable.h"
#include "proxy/guarded_timer.h"

namespace peridotarch {

/// Exchanges load reports with the other nodes over UDP.
class peer_reporter : public std::enable_shared_from_this<peer_reporter> {
 public:
  explicit peer_reporter(std::shared_ptr<front_node> node);

  /// Starts to send and receive reports. Calls `on_ahead` with a peer that
  /// knows newer records of the store than this node.
  void Start(std::function<void(const peer_ahead&)> on_ahead);
  /// Adds a node that announced itself in the store.
  void AddPeer(const host_port& address);
  /// Sends a report that says that this node is leaving. The node must already
  /// be draining.
  void AnnounceLeaving();

 private:
  /// The peers that a report is sent to.
  enum class recipients {
    kZone,        ///< Live nodes of the own availability zone.
    kOtherZones,  ///< Live nodes of the other zones.
    kHeartbeat,   ///< All nodes of the own zone, those of others in turn.
    kAll,         ///< All known nodes, including silent ones.
  };
  enum class report_content {
    kLoad,       ///< The requests in flight and the latest outcomes.
    kWithUsage,  ///< The use of the retry budget, too.
  };
  struct peer_state {
    std::string name;  ///< The address as text.
    millis heard_at = millis(-1'000'000);
    millis added_at = heard_at;
    uint16_t zone = 0;
    uint32_t relay_key = 0;  ///< Names the reporter in relayed reports.
    bool leaving = false;
    bool reads_store = false;
    bool has_records = false;  ///< It knows a configuration and instances.
  };
  struct endpoint_hash {
    size_t operator()(const boost::asio::ip::udp::endpoint& remote) const;
  };
  /// A live node of the own zone.
  struct ring_peer {
    boost::asio::ip::udp::endpoint remote;
    uint32_t key = 0;
    double position = 0;
  };
  /// A report that is sent after a delay.
  struct delayed_report {
    guarded_timer timer;
    std::optional<millis> due_at = {};  ///< Set while it waits to be sent.
    report_pace pace = {};
  };

  void SetNodeHooks();
  void SetPeerLink();
  [[nodiscard]] std::string MakeMessage(peer_message_kind kind,
                                        std::string_view payload) const;
  void SendMessage(const std::string& address, peer_message_kind kind,
                   std::string_view payload);
  void HandleMessage(const boost::asio::ip::udp::endpoint& sender,
                     std::string_view datagram);
  awaitable<void> Receive();
  awaitable<void> SendHeartbeats();
  void OnLoadChange(load_change change, instance_key key);
  void SendToSome();
  void SendToUsersOf(const std::vector<instance_key>& keys);
  void SendSoon(delayed_report& report, millis delay,
                std::function<void()> send);
  /// Sends at once if the last report was sent at least `interval` ago, else
  /// when that time is over. Returns whether it was sent at once.
  bool SendPaced(delayed_report& report, millis interval,
                 std::function<void()> send);
  void TellUsers(load_change change, instance_key key);
  void TellZone(instance_key key);
  void RelayInZone(std::string_view datagram);
  /// `relay_for` is the key of this node if the report is to be relayed.
  std::string MakeDatagram(report_content content, millis now,
                           uint32_t relay_for = 0);
  void Send(recipients to, report_content content);
  /// Sends a report to a node that is new or no longer silent.
  void Greet(const boost::asio::ip::udp::endpoint& remote);
  peer_state& FindOrAddPeer(const boost::asio::ip::udp::endpoint& remote);
  void SendTo(const boost::asio::ip::udp::endpoint& to,
              std::string_view datagram);
  void SendToEach(recipients to, std::string_view datagram, millis now);
  /// Sends a report to one node of each other zone, which relays it there.
  void SendToRelays(report_content content);
  /// Sends a datagram to one live node of each other zone.
  void SendToOneOfEachZone(std::string_view datagram);
  std::optional<boost::asio::ip::udp::endpoint> ResolveReporter(
      const boost::asio::ip::udp::endpoint& sender, const load_report& report,
      std::string_view datagram);
  [[nodiscard]] bool Includes(recipients to, const peer_state& state,
                              millis now) const;
  void CompareRecords(const std::string& name, const load_report& report);
  void HandleDatagram(const boost::asio::ip::udp::endpoint& sender,
                      std::string_view datagram);
  void HandleReport(const boost::asio::ip::udp::endpoint& sender,
                    std::string_view datagram);
  void CountNodes(millis now);
  /// Recomputes which nodes of this zone are live and where they stand.
  void UpdateRing(millis now);
  [[nodiscard]] bool IsLive(const peer_state& state, millis now) const;
  [[nodiscard]] std::optional<std::string> FindStoreReader() const;
  [[nodiscard]] std::optional<std::string> FindLivePeer() const;
  [[nodiscard]] int CountKnownNodes() const;
  [[nodiscard]] int RankInZone() const;
  [[nodiscard]] std::optional<millis> ReadDueAt(millis now);
  [[nodiscard]] bool MustReadStore();
  /// A node no longer reads the store.
  void OnReaderLost();
  [[nodiscard]] bool MustReadStoreFirst() const;
  [[nodiscard]] std::vector<reader_candidate> ReaderCandidates() const;

  const std::shared_ptr<front_node> node_;
  boost::asio::ip::udp::socket socket_;
  delayed_report same_zone_report_;
  delayed_report other_zones_report_;
  delayed_report whole_zone_report_;
  delayed_report relayed_reports_;
  reader_duty duty_;
  guarded_timer takeover_timer_;
  std::vector<std::string> to_relay_;  ///< To be sent by relayed_reports_.
  const uint16_t zone_;
  const uint32_t own_relay_key_;
  node_ring ring_;
  std::vector<ring_peer> ring_peers_;
  bool ring_is_outdated_ = false;  ///< A node has been heard after silence.
  heartbeat_schedule schedule_;
  size_t nodes_in_other_zones_ = 0;    ///< Silent ones included.
  std::vector<instance_key> changed_;  ///< To be reported by same_zone_report_.
  uint32_t report_number_ = 0;
  std::unordered_map<boost::asio::ip::udp::endpoint, peer_state, endpoint_hash>
      peers_;
  std::unordered_map<uint32_t, boost::asio::ip::udp::endpoint> remotes_by_key_;
  std::function<void(const peer_ahead&)> on_ahead_;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_REPORTER_H_
