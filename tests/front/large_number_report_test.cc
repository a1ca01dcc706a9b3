// Reports of configuration versions and offsets that 32 bits don't hold.
#include <catch2/catch.hpp>
#include <vector>

#include "reporting_node.h"

namespace peridotarch {
namespace {

TEST_CASE("numbers above 2^32: a node finds that a peer is ahead, and tells") {
  constexpr uint64_t kVersion = 1'764'927'000'003;
  constexpr uint64_t kOffset = (uint64_t{1} << 32) + 10;
  reporting_node reporting;
  const auto node = reporting.node;
  const std::vector<peer_ahead>& ahead = reporting.StartAndCollect();
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

// In a fleet of two builds, half of the newer nodes kept an old configuration.
TEST_CASE("numbers above 2^32: a peer that reports 32 bits of them is ahead") {
  constexpr uint64_t kOffset = (uint64_t{1} << 32) + 10;
  reporting_node reporting;
  const auto node = reporting.node;
  const std::vector<peer_ahead>& ahead = reporting.StartAndCollect();
  fake_peer peer(reporting.world.context, "127.0.0.12", "a");
  reporting.reporter->AddPeer(peer.bound_address());
  node->instances_offset = kOffset;
  const auto reports_of = [&](uint64_t offset) {
    reporting.ahead.clear();
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

}  // namespace
}  // namespace peridotarch
