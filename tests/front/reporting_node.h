#ifndef TESTS_FRONT_REPORTING_NODE_H_
#define TESTS_FRONT_REPORTING_NODE_H_

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "front/peer_reporter.h"
#include "front_world.h"
#include "platform/endpoint.h"

namespace peridotarch {

inline constexpr const char* kOwnAddress = "127.0.0.11";

/// Stands in for another node: sends load reports and records what arrives.
class fake_peer {
 public:
  fake_peer(boost::asio::io_context& context, const char* address,
            std::string zone)
      : zone_(std::move(zone)),
        socket_(context, {boost::asio::ip::make_address(address), 0}) {
    socket_.non_blocking(true);
  }

  [[nodiscard]] host_port bound_address() const {
    const auto local = socket_.local_endpoint();
    return {local.address().to_string(), local.port()};
  }
  [[nodiscard]] uint32_t relay_key() const {
    return NodeKeyOf(ToText({bound_address().host, bound_address().port}));
  }

  std::string SendReport(const boost::asio::ip::udp::endpoint& to,
                         int in_flight, uint32_t relay_for) {
    load_report report;
    report.incarnation = 1;
    report.number = ++report_number_;
    report.zone = ZoneKeyOf(zone_);
    report.relay_for = relay_for;
    report.load = {{KeyOf("i-1"), static_cast<uint8_t>(in_flight)}};
    return SendDatagram(to, Encode(report, ""));
  }
  // Reports that this node knows of a change to the instances.
  void SendChange(const boost::asio::ip::udp::endpoint& to,
                  uint64_t instances_offset, uint64_t config_version = 0) {
    load_report report;
    report.incarnation = 1;
    report.number = ++report_number_;
    report.zone = ZoneKeyOf(zone_);
    report.instances_offset = instances_offset;
    report.config_version = config_version;
    SendDatagram(to, Encode(report, ""));
  }
  std::string SendDatagram(const boost::asio::ip::udp::endpoint& to,
                           const std::string& datagram) {
    socket_.send_to(boost::asio::buffer(datagram), to);
    return datagram;
  }

  // Returns how often this datagram has arrived.
  int64_t CountReceived(const std::string& datagram) {
    ReceiveAll();
    return std::count(received_.begin(), received_.end(), datagram);
  }
  // Returns how many datagrams have arrived.
  size_t CountReceived() {
    ReceiveAll();
    return received_.size();
  }

  // Returns the latest report that has arrived.
  load_report LatestReport() {
    ReceiveAll();
    REQUIRE_FALSE(received_.empty());
    return DecodeLoadReport(received_.back(), "");
  }

 private:
  void ReceiveAll() {
    std::string buffer(4096, '\0');
    boost::system::error_code failure;
    for (;;) {
      const size_t size =
          socket_.receive(boost::asio::buffer(buffer), 0, failure);
      if (failure) {
        return;
      }
      received_.push_back(buffer.substr(0, size));
    }
  }

  const std::string zone_;
  boost::asio::ip::udp::socket socket_;
  std::vector<std::string> received_;
  uint32_t report_number_ = 0;
};

inline uint16_t FreePort(boost::asio::io_context& context) {
  const boost::asio::ip::udp::socket probe(
      context, {boost::asio::ip::make_address(kOwnAddress), 0});
  return probe.local_endpoint().port();
}

/// A node of zone "a" that exchanges load reports with its peers.
struct reporting_node {
  reporting_node() {
    node_settings settings;
    settings.zone = "a";
    settings.callers = {kOwnAddress, 1};
    settings.peer_port = FreePort(world.context);
    address = {boost::asio::ip::make_address(kOwnAddress), settings.peer_port};
    node = std::make_shared<front_node>(world.context, settings, 1);
    reporter = std::make_shared<peer_reporter>(node);
  }

  /// Starts to report. Returns the peers that turn out to be ahead, which are
  /// added to `ahead`.
  const std::vector<peer_ahead>& StartAndCollect() {
    reporter->Start([this](const peer_ahead& peer) { ahead.push_back(peer); });
    return ahead;
  }

  front_world world;
  std::vector<peer_ahead> ahead;
  boost::asio::ip::udp::endpoint address;
  std::shared_ptr<front_node> node;
  std::shared_ptr<peer_reporter> reporter;
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_REPORTING_NODE_H_
