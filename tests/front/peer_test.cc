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

// Stands in for another node: sends load reports and records what arrives.
class fake_peer {
 public:
  fake_peer(asio::io_context& context, const char* address, std::string zone)
      : zone_(std::move(zone)),
        socket_(context, {asio::ip::make_address(address), 0}) {
    socket_.non_blocking(true);
  }

  [[nodiscard]] host_port bound_address() const {
    const auto local = socket_.local_endpoint();
    return {local.address().to_string(), local.port()};
  }
  [[nodiscard]] uint32_t relay_key() const {
    return NodeKeyOf(ToText({bound_address().host, bound_address().port}));
  }

  std::string SendReport(const udp::endpoint& to, int in_flight,
                         uint32_t relay_for) {
    load_report report;
    report.incarnation = 1;
    report.number = ++report_number_;
    report.zone = ZoneKeyOf(zone_);
    report.relay_for = relay_for;
    report.load = {{KeyOf("i-1"), static_cast<uint8_t>(in_flight)}};
    return SendDatagram(to, Encode(report, ""));
  }
  // Reports that this node knows of a change to the instances.
  void SendChange(const udp::endpoint& to, uint64_t instances_offset,
                  uint64_t config_version = 0) {
    load_report report;
    report.incarnation = 1;
    report.number = ++report_number_;
    report.zone = ZoneKeyOf(zone_);
    report.instances_offset = instances_offset;
    report.config_version = config_version;
    SendDatagram(to, Encode(report, ""));
  }
  std::string SendDatagram(const udp::endpoint& to,
                           const std::string& datagram) {
    socket_.send_to(asio::buffer(datagram), to);
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
      const size_t size = socket_.receive(asio::buffer(buffer), 0, failure);
      if (failure) {
        return;
      }
      received_.push_back(buffer.substr(0, size));
    }
  }

  const std::string zone_;
  udp::socket socket_;
  std::vector<std::string> received_;
  uint32_t report_number_ = 0;
};

uint16_t FreePort(asio::io_context& context) {
  const udp::socket probe(context, {asio::ip::make_address(kOwnAddress), 0});
  return probe.local_endpoint().port();
}

// A node of zone "a" that exchanges load reports with its peers.
struct reporting_node {
  reporting_node() {
    node_settings settings;
    settings.zone = "a";
    settings.callers = {kOwnAddress, 1};
    settings.peer_port = FreePort(world.context);
    address = {asio::ip::make_address(kOwnAddress), settings.peer_port};
    node = std::make_shared<front_node>(world.context, settings, 1);
    reporter = std::make_shared<peer_reporter>(node);
  }

  front_world world;
  udp::endpoint address;
  std::shared_ptr<front_node> node;
  std::shared_ptr<peer_reporter> reporter;
};

TEST_CASE("a report from another zone is relayed once within the own zone") {
  reporting_node reporting;
  front_world& world = reporting.world;
  const udp::endpoint node_address = reporting.address;
  const auto node = reporting.node;
  instance_entry entry;
  entry.id = "i-1";
  entry.service = "s";
  entry.zone = "b";
  node->selector.SetInstances(std::vector{entry}, boot_clock::Now());
  const auto in_flight = [&node] {
    choice_request call;
    call.service = "s";
    call.time_left = millis(60'000);
    call.objective = millis(60'000);
    return node->selector.Choose(call, boot_clock::Now()).in_flight;
  };
  fake_peer same_zone_peer(world.context, "127.0.0.12", "a");
  fake_peer reporting_peer(world.context, "127.0.0.13", "b");
  fake_peer other_peer(world.context, "127.0.0.14", "b");
  reporting.reporter->Start([](const peer_ahead&) {});
  same_zone_peer.SendReport(node_address, 0, 0);
  other_peer.SendReport(node_address, 0, 0);
  reporting_peer.SendReport(node_address, 1, 0);
  world.RunUntil([&] { return in_flight() == 1; });
  REQUIRE(in_flight() == 1);

  const std::string direct =
      reporting_peer.SendReport(node_address, 2, reporting_peer.relay_key());
  world.RunUntil([&] { return same_zone_peer.CountReceived(direct) > 0; });
  CHECK(in_flight() == 2);
  CHECK(same_zone_peer.CountReceived(direct) == 1);
  CHECK(other_peer.CountReceived(direct) == 0);

  // A report that `same_zone_peer` relays counts as a report of
  // `reporting_peer`, and is not relayed again.
  const std::string relayed = reporting_peer.SendReport(
      {asio::ip::make_address("127.0.0.12"), 9}, 3, reporting_peer.relay_key());
  same_zone_peer.SendDatagram(node_address, relayed);
  world.RunUntil([&] { return in_flight() == 3; });
  CHECK(in_flight() == 3);
  CHECK(same_zone_peer.CountReceived(relayed) == 0);
  CHECK(other_peer.CountReceived(relayed) == 0);
}

// After a restart of all nodes, each node detected outliers alone for a second,
// so every node had to find each unhealthy instance itself.
TEST_CASE(
    "all nodes restarted: they exchange reports before the next heartbeat") {
  reporting_node reporting;
  fake_peer added_peer(reporting.world.context, "127.0.0.12", "a");
  fake_peer unlisted_peer(reporting.world.context, "127.0.0.13", "b");
  reporting.reporter->Start([](const peer_ahead&) {});
  reporting.world.context.run_for(std::chrono::milliseconds(20));
  const millis started_at = boot_clock::Now();
  reporting.reporter->AddPeer(added_peer.bound_address());
  unlisted_peer.SendReport(reporting.address, 0, 0);
  reporting.world.RunUntil([&] {
    return added_peer.CountReceived() > 0 && unlisted_peer.CountReceived() > 0;
  });
  CHECK(added_peer.CountReceived() == 1);
  CHECK(unlisted_peer.CountReceived() == 1);
  CHECK(boot_clock::Now() - started_at < millis(800));  // heartbeat: 1 s
}

// Nodes that waited for the instances of a peer which knew none refused their
// callers for up to a second.
TEST_CASE("restart of all nodes: a configuration alone is not all records") {
  reporting_node reporting;
  reporting.reporter->Start([](const peer_ahead&) {});
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  peer.SendChange(reporting.address, 0, 1);
  reporting.world.context.run_for(std::chrono::milliseconds(30));
  CHECK(reporting.node->must_read_store_first());
  peer.SendChange(reporting.address, 5, 1);
  reporting.world.RunUntil(
      [&] { return !reporting.node->must_read_store_first(); });
  CHECK_FALSE(reporting.node->must_read_store_first());
}

// Instances renew their entries all the time. Every node read each renewal from
// another node, and announced it to all others.
TEST_CASE("many nodes: a peer is read only if the records have changed") {
  reporting_node reporting;
  const auto node = reporting.node;
  std::vector<peer_ahead> ahead;
  reporting.reporter->Start(
      [&ahead](const peer_ahead& peer) { ahead.push_back(peer); });
  fake_peer same_zone_peer(reporting.world.context, "127.0.0.12", "a");
  fake_peer other_zone_peer(reporting.world.context, "127.0.0.13", "b");
  node->instances_offset = 10;
  same_zone_peer.SendChange(reporting.address, 10);
  same_zone_peer.SendReport(reporting.address, 0, 0);
  reporting.world.context.run_for(std::chrono::milliseconds(30));
  CHECK(ahead.empty());
  same_zone_peer.SendChange(reporting.address, 11);
  other_zone_peer.SendChange(reporting.address, 12);
  reporting.world.RunUntil([&ahead] { return ahead.size() == 2; });
  REQUIRE(ahead.size() == 2);
  CHECK(ahead[0].address == "127.0.0.12");
  CHECK(ahead[0].instances_offset == 11);
  CHECK_FALSE(ahead[0].is_other_zone);
  CHECK(ahead[1].is_other_zone);
}

TEST_CASE("many nodes: a node tells the users of an instance of its load") {
  reporting_node reporting;
  const auto node = reporting.node;
  instance_entry entry;
  entry.id = "i-1";
  entry.service = "s";
  entry.zone = "a";
  entry.slots = 3;
  instance_entry far = entry;
  far.id = "i-2";
  far.zone = "b";
  node->selector.SetInstances(std::vector{entry, far}, boot_clock::Now());
  reporting.reporter->Start([](const peer_ahead&) {});
  fake_peer near_peer(reporting.world.context, "127.0.0.12", "a");
  fake_peer far_peer(reporting.world.context, "127.0.0.13", "b");
  near_peer.SendReport(reporting.address, 0, 0);
  far_peer.SendReport(reporting.address, 0, 0);
  reporting.world.RunUntil([&] {
    return near_peer.CountReceived() > 0 && far_peer.CountReceived() > 0;
  });
  const size_t near_before = near_peer.CountReceived();
  const size_t far_before = far_peer.CountReceived();
  // The instance has one slot left.
  node->selector.Begin(KeyOf("i-1"));
  node->selector.Begin(KeyOf("i-1"));
  node->on_load_change(load_change::kSlotTaken, KeyOf("i-1"));
  CHECK(near_peer.CountReceived() == near_before + 1);
  CHECK(far_peer.CountReceived() == far_before);
  node->on_load_change(load_change::kSlotTaken, KeyOf("i-2"));
  CHECK(near_peer.CountReceived() == near_before + 1);
  node->on_load_change(load_change::kInstanceSheds, KeyOf("i-1"));
  CHECK(near_peer.CountReceived() == near_before + 2);
  CHECK(far_peer.CountReceived() == far_before);
  node->on_load_change(load_change::kHealthEvidence, KeyOf("i-1"));
  CHECK(near_peer.CountReceived() == near_before + 3);
  CHECK(far_peer.CountReceived() == far_before + 1);
}

// With hundreds of nodes, most datagrams told of requests at instances that had
// room for several more.
TEST_CASE(
    "many nodes: requests at instances with spare slots are told together") {
  constexpr int kRequests = 10;
  reporting_node reporting;
  const auto node = reporting.node;
  std::vector<instance_entry> entries;
  for (int i = 0; i < kRequests; ++i) {
    instance_entry entry;
    entry.id = "i-" + std::to_string(i);
    entry.service = "s";
    entry.zone = "a";
    entry.slots = 3;
    entries.push_back(entry);
  }
  node->selector.SetInstances(entries, boot_clock::Now());
  reporting.reporter->Start([](const peer_ahead&) {});
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  peer.SendReport(reporting.address, 0, 0);
  reporting.world.RunUntil([&] { return peer.CountReceived() > 0; });
  const size_t before = peer.CountReceived();
  for (const instance_entry& entry : entries) {
    node->selector.Begin(KeyOf(entry.id));
    node->on_load_change(load_change::kSlotTaken, KeyOf(entry.id));
  }
  CHECK(peer.CountReceived() == before);
  reporting.world.RunUntil([&] { return peer.CountReceived() > before; });
  CHECK(peer.CountReceived() == before + 1);
}

// Numbers were cut to 32 bits in reports, so that no peer was ever ahead, and
// nodes that do not read the store kept the records that they had.
// A trial was told 150 ms after its beginning if the instance had spare slots,
// and three of ten trials were begun meanwhile by other nodes.
TEST_CASE("many nodes: a trial is told to the other users at once") {
  reporting_node reporting;
  const auto node = reporting.node;
  instance_entry entry;
  entry.id = "i-1";
  entry.service = "s";
  entry.zone = "a";
  entry.slots = 3;
  const std::vector<instance_entry> entries = {entry};
  node->selector.SetInstances(entries, boot_clock::Now());
  reporting.reporter->Start([](const peer_ahead&) {});
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  reporting.reporter->AddPeer(peer.bound_address());
  peer.SendReport(reporting.address, 0, 0);
  reporting.world.RunUntil([&peer] { return peer.CountReceived() >= 2; });
  const size_t greetings = peer.CountReceived();
  node->selector.Begin(KeyOf(entry.id));
  node->on_load_change(load_change::kTrialBegun, KeyOf(entry.id));
  REQUIRE(peer.CountReceived() == greetings + 1);
  CHECK(peer.LatestReport().load ==
        std::vector<load_entry>{{KeyOf(entry.id), 1}});
}

TEST_CASE("numbers above 2^32: a node finds that a peer is ahead, and tells") {
  constexpr uint64_t kVersion = 1'764'927'000'003;
  constexpr uint64_t kOffset = (uint64_t{1} << 32) + 10;
  reporting_node reporting;
  const auto node = reporting.node;
  std::vector<peer_ahead> ahead;
  reporting.reporter->Start(
      [&ahead](const peer_ahead& peer) { ahead.push_back(peer); });
  fleet_config config;
  config.version = kVersion;
  node->routes.Store(std::make_shared<const route_index>(config));
  node->instances_offset = kOffset;
  node->instances_changed_at = kOffset;
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  peer.SendChange(reporting.address, kOffset, kVersion);
  reporting.world.RunUntil([&] { return peer.CountReceived() > 0; });
  CHECK(ahead.empty());
  const load_report told = peer.LatestReport();
  CHECK(told.instances_offset == kOffset);
  CHECK(told.config_version == kVersion);
  peer.SendChange(reporting.address, kOffset + 1, kVersion);
  reporting.world.RunUntil([&] { return ahead.size() == 1; });
  peer.SendChange(reporting.address, kOffset, kVersion + 3);
  reporting.world.RunUntil([&] { return ahead.size() == 2; });
  REQUIRE(ahead.size() == 2);
  CHECK(ahead[0].instances_offset == kOffset + 1);
  CHECK(ahead[1].config_version == kVersion + 3);
}

// Under overload each node had a report to relay for every failed attempt of
// the other zones.
// In a fleet of two builds, half of the newer nodes kept an old configuration.
TEST_CASE("numbers above 2^32: a peer that reports 32 bits of them is ahead") {
  constexpr uint64_t kOffset = (uint64_t{1} << 32) + 10;
  reporting_node reporting;
  const auto node = reporting.node;
  std::vector<peer_ahead> ahead;
  reporting.reporter->Start(
      [&ahead](const peer_ahead& peer) { ahead.push_back(peer); });
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  reporting.reporter->AddPeer(peer.bound_address());
  node->instances_offset = kOffset;
  const auto reports_of = [&](uint64_t offset) {
    ahead.clear();
    peer.SendChange(reporting.address, offset & UINT32_MAX);
    reporting.world.RunUntil([&ahead] { return !ahead.empty(); }, millis(200));
    return ahead.size();
  };
  CHECK(reports_of(kOffset) == 0);
  CHECK(reports_of(kOffset - 1) == 0);
  CHECK(reports_of(kOffset - 11) == 0);
  CHECK(reports_of(0) == 0);
  REQUIRE(reports_of(kOffset + 5) == 1);
  CHECK(ahead.front().instances_offset == kOffset + 5);
  // The lower half of the peer's number has begun anew.
  node->instances_offset = 2 * (uint64_t{1} << 32) - 3;
  REQUIRE(reports_of(2 * (uint64_t{1} << 32) + 4) == 1);
  CHECK(ahead.front().instances_offset == 2 * (uint64_t{1} << 32) + 4);
}

TEST_CASE("many nodes: reports that arrive together are relayed together") {
  constexpr int kReports = 10;
  reporting_node reporting;
  reporting.reporter->Start([](const peer_ahead&) {});
  fake_peer same_zone_peer(reporting.world.context, "127.0.0.12", "a");
  fake_peer far_peer(reporting.world.context, "127.0.0.13", "b");
  same_zone_peer.SendReport(reporting.address, 0, 0);
  far_peer.SendReport(reporting.address, 0, 0);
  reporting.world.RunUntil([&] { return same_zone_peer.CountReceived() > 0; });
  const size_t before = same_zone_peer.CountReceived();
  for (int i = 0; i < kReports; ++i) {
    far_peer.SendReport(reporting.address, i, far_peer.relay_key());
  }
  reporting.world.RunUntil(
      [&] { return same_zone_peer.CountReceived() >= before + 2; });
  reporting.world.context.run_for(std::chrono::milliseconds(150));
  CHECK(same_zone_peer.CountReceived() == before + 2);
}

}  // namespace
}  // namespace peridotarch
