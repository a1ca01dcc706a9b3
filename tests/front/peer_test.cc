#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "front/peer_reporter.h"
#include "front_world.h"
#include "reporting_node.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

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
  const std::vector<peer_ahead>& ahead = reporting.StartAndCollect();
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

// Under overload each node had a report to relay for every failed attempt of
// the other zones.
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
