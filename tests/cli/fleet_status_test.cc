#include "cli/fleet_status.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace peridotarch {
namespace {

node_status Node(const std::string& name, int64_t wall, uint64_t revision,
                 std::vector<shard_status> shards) {
  node_status node;
  node.node = name;
  node.zone = "a";
  node.at = {millis(wall), 0};
  node.revision = revision;
  node.members = 3;
  node.shards = std::move(shards);
  return node;
}

instance_status Instance(const std::string& id, instance_state state) {
  instance_status of;
  of.id = id;
  of.state = state;
  of.reason = "because";
  of.slots = 3;
  of.busy = 1;
  return of;
}

TEST_CASE("a service's capacity is put together from its shards' owners") {
  const auto fleet =
      MergeStatus({Node("n1", 10, 5,
                        {{"payout",
                          0,
                          2,
                          9,
                          1,
                          {Instance("p-2", instance_state::kEjected),
                           Instance("p-1", instance_state::kOpen)}}}),
                   Node("n2", 10, 4,
                        {{"payout",
                          1,
                          2,
                          9,
                          2,
                          {Instance("p-3", instance_state::kSuspect),
                           Instance("p-4", instance_state::kLeaving)}}})},
                  {{"n3", "connection refused"}});
  REQUIRE(fleet.newest_revision == 5);
  REQUIRE(fleet.nodes_behind == 1);
  REQUIRE(fleet.services.size() == 1);
  const service_summary& service = fleet.services.front();
  REQUIRE(service.capacity == 6);
  REQUIRE(service.slots == 12);
  REQUIRE(service.busy == 4);
  REQUIRE(service.queued == 3);
  REQUIRE(BelowFloor(service));
  const std::string text = ToText(fleet);
  REQUIRE(text.find("capacity 6 of 12 slots, floor 9") != std::string::npos);
  REQUIRE(text.find("BELOW ITS FLOOR") != std::string::npos);
  REQUIRE(text.find("connection refused") != std::string::npos);
  REQUIRE(text.find("4 behind") != std::string::npos);
  REQUIRE(text.find("because") != std::string::npos);
  const auto json = nlohmann::json::parse(ToJson(fleet));
  REQUIRE(json["services"][0]["below_floor"] == true);
  REQUIRE(json["services"][0]["instances"][1]["state"] == "ejected");
  REQUIRE(json["no_answer"][0]["node"] == "n3");
}

TEST_CASE("an unreported shard makes the capacity a bound, not a breach") {
  const auto fleet = MergeStatus(
      {Node("n1", 10, 5,
            {{"payout", 1, 2, 9, 0, {Instance("p", instance_state::kOpen)}}})},
      {});
  const service_summary& service = fleet.services.front();
  REQUIRE(service.unreported == std::vector<int>{0});
  REQUIRE_FALSE(BelowFloor(service));
  REQUIRE(ToText(fleet).find("lower bound") != std::string::npos);
}

TEST_CASE("of two owners of a shard the later report counts") {
  const shard_status older = {
      "payout", 0, 1, 3, 0, {Instance("p", instance_state::kOpen)}};
  const shard_status newer = {
      "payout", 0, 1, 3, 0, {Instance("p", instance_state::kEjected)}};
  for (const bool newer_first : {true, false}) {
    std::vector<node_status> nodes = {Node("n1", 20, 1, {newer}),
                                      Node("n2", 10, 1, {older})};
    if (!newer_first) {
      std::swap(nodes[0], nodes[1]);
    }
    const auto fleet = MergeStatus(nodes, {});
    const service_summary& service = fleet.services.front();
    REQUIRE(service.contested == std::vector<int>{0});
    REQUIRE(service.instances.size() == 1);
    REQUIRE(service.capacity == 0);
  }
}

}  // namespace
}  // namespace peridotarch
