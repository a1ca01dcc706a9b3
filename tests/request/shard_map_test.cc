#include "request/shard_map.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace peridotarch {
namespace {

std::vector<node_view> Nodes(int count) {
  std::vector<node_view> nodes;
  for (int i = 0; i < count; ++i) {
    nodes.push_back({"n" + std::to_string(i), "z" + std::to_string(i % 4), 1});
  }
  return nodes;
}

TEST_CASE("the number of shards follows from the floor") {
  CHECK(ShardCount(0) == 1);
  CHECK(ShardCount(24) == 1);
  CHECK(ShardCount(25) == 2);
  CHECK(ShardCount(240) == 10);
}

TEST_CASE("replacing a node moves only its own shards") {
  constexpr int kServices = 150;
  constexpr int kShards = 5;
  auto nodes = Nodes(800);
  std::map<std::string, std::string> before;
  const auto owners = [&](auto visit) {
    for (int service = 0; service < kServices; ++service) {
      for (int shard_index = 0; shard_index < kShards; ++shard_index) {
        const std::string name = "s" + std::to_string(service);
        const node_view* owner = OwnerOf(name, shard_index, nodes);
        REQUIRE(owner != nullptr);
        visit(name + "/" + std::to_string(shard_index), owner->id);
      }
    }
  };
  owners([&](const auto& shard, const auto& owner) { before[shard] = owner; });
  nodes[7].id = "fresh";
  owners([&](const auto& shard, const auto& owner) {
    const bool is_affected = before[shard] == "n7" || owner == "fresh";
    CHECK((is_affected || before[shard] == owner));
  });
}

TEST_CASE("an ineligible node owns nothing") {
  auto nodes = Nodes(2);
  nodes[0].eligible = false;
  CHECK(OwnerOf("s", 0, nodes)->id == "n1");
  nodes[1].eligible = false;
  CHECK(OwnerOf("s", 0, nodes) == nullptr);
}

TEST_CASE("a new shard only takes instances from the others") {
  for (int i = 0; i < 500; ++i) {
    const std::string id = "i" + std::to_string(i);
    const int before = ShardOfInstance("s", id, 4);
    const int after = ShardOfInstance("s", id, 5);
    CHECK((after == before || after == 4));
  }
}

}  // namespace
}  // namespace peridotarch
