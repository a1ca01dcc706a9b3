// Embeds shard ownership without a daemon: a program that knows the live nodes
// of a fleet works out which node owns each shard of a service.
#include <iostream>
#include <vector>

#include "request/shard_map.h"

int main() {
  using namespace peridotarch;
  std::vector<node_view> nodes = {{"entry-1", "a"}, {"entry-2", "b"}};
  const int shards = ShardCount(60);
  for (int shard = 0; shard < shards; ++shard) {
    const node_view* owner = OwnerOf("payout-desk", shard, nodes);
    std::cout << "shard " << shard << ": " << owner->id << '\n';
  }
  nodes[0].eligible = false;
  return OwnerOf("payout-desk", 0, nodes)->id == "entry-2" ? 0 : 1;
}
