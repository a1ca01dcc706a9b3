#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "front/peer_reporter.h"
#include "front_world.h"
#include "platform/endpoint.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr const char* kOwnAddress = "127.0.0.11";

// Another node, as far as its reports go.
class far_peer {
 public:
  far_peer(asio::io_context& context, const char* address, std::string zone)
      : zone_(std::move(zone)),
        socket_(context, {asio::ip::make_address(address), 0}) {
    socket_.non_blocking(true);
  }

  [[nodiscard]] host_port at() const {
    const auto own = socket_.local_endpoint();
    return {own.address().to_string(), own.port()};
  }
  [[nodiscard]] uint32_t key() const {
    return NodeKeyOf(ToText({at().host, at().port}));
  }

  std::string Say(const udp::endpoint& to, int in_flight, uint32_t relay_for) {
    load_report report;
    report.incarnation = 1;
    report.number = ++number_;
    report.zone = ZoneKeyOf(zone_);
    report.relay_for = relay_for;
    report.load = {{KeyOf("i-1"), static_cast<uint8_t>(in_flight)}};
    return Pass(to, Encode(report, ""));
  }
  std::string Pass(const udp::endpoint& to, const std::string& datagram) {
    socket_.send_to(asio::buffer(datagram), to);
    return datagram;
  }

  // How often a datagram has arrived.
  int64_t Got(const std::string& datagram) {
    Take();
    return std::count(got_.begin(), got_.end(), datagram);
  }
  // How many datagrams have arrived.
  size_t Got() {
    Take();
    return got_.size();
  }

 private:
  void Take() {
    std::string buffer(4096, '\0');
    boost::system::error_code failure;
    for (;;) {
      const size_t size = socket_.receive(asio::buffer(buffer), 0, failure);
      if (failure) {
        return;
      }
      got_.push_back(buffer.substr(0, size));
    }
  }

  const std::string zone_;
  udp::socket socket_;
  std::vector<std::string> got_;
  uint32_t number_ = 0;
};

uint16_t FreePort(asio::io_context& context) {
  const udp::socket probe(context, {asio::ip::make_address(kOwnAddress), 0});
  return probe.local_endpoint().port();
}

// A node of zone "a" with its link to the others.
struct linked_node {
  linked_node() {
    node_settings settings;
    settings.zone = "a";
    settings.callers = {kOwnAddress, 1};
    settings.peer_port = FreePort(world.context);
    at = {asio::ip::make_address(kOwnAddress), settings.peer_port};
    here = std::make_shared<front_node>(world.context, settings, 1);
    link = std::make_shared<peer_reporter>(here);
  }

  front_world world;
  udp::endpoint at;
  std::shared_ptr<front_node> here;
  std::shared_ptr<peer_reporter> link;
};

TEST_CASE("reports of another zone: the first to get one passes it on, once") {
  linked_node node;
  front_world& world = node.world;
  const udp::endpoint own = node.at;
  const auto here = node.here;
  instance_entry entry;
  entry.id = "i-1";
  entry.service = "s";
  entry.zone = "b";
  here->selector.SetInstances(std::vector{entry}, boot_clock::Now());
  const auto in_flight = [&here] {
    choice_request call;
    call.service = "s";
    call.time_left = millis(60'000);
    call.objective = millis(60'000);
    return here->selector.Choose(call, boot_clock::Now()).in_flight;
  };
  far_peer near(world.context, "127.0.0.12", "a");
  far_peer far(world.context, "127.0.0.13", "b");
  far_peer other(world.context, "127.0.0.14", "b");
  node.link->Start([](const std::string&) {});
  near.Say(own, 0, 0);
  other.Say(own, 0, 0);
  far.Say(own, 1, 0);
  world.RunUntil([&] { return in_flight() == 1; });
  REQUIRE(in_flight() == 1);

  const std::string direct = far.Say(own, 2, far.key());
  world.RunUntil([&] { return near.Got(direct) > 0; });
  CHECK(in_flight() == 2);
  CHECK(near.Got(direct) == 1);
  CHECK(other.Got(direct) == 0);

  // What `near` was given first: it counts as the word of its maker.
  const std::string passed =
      far.Say({asio::ip::make_address("127.0.0.12"), 9}, 3, far.key());
  near.Pass(own, passed);
  world.RunUntil([&] { return in_flight() == 3; });
  CHECK(in_flight() == 3);
  CHECK(near.Got(passed) == 0);
  CHECK(other.Got(passed) == 0);
}

// Found on trouble-1 of Tamega: after a restart of all nodes each judged the
// instances alone for a second, and found every gray one itself.
TEST_CASE("all nodes restarted: they hear of each other before the next beat") {
  linked_node node;
  far_peer known(node.world.context, "127.0.0.12", "a");
  far_peer unknown(node.world.context, "127.0.0.13", "b");
  node.link->Start([](const std::string&) {});
  node.world.context.run_for(std::chrono::milliseconds(20));
  const millis begun = boot_clock::Now();
  node.link->AddPeer(known.at());
  unknown.Say(node.at, 0, 0);
  node.world.RunUntil([&] { return known.Got() > 0 && unknown.Got() > 0; });
  CHECK(known.Got() == 1);
  CHECK(unknown.Got() == 1);
  CHECK(boot_clock::Now() - begun < millis(800));  // a beat comes after 1 s
}

}  // namespace
}  // namespace peridotarch
