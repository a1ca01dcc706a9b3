#include "proxy/owner_table.h"

#include "core/hash.h"
#include "proxy/claim_log.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"

namespace peridotarch {

owner_table::owner_table(node& parent)
    : node_(parent), shards_(std::make_shared<shard_table>()) {}

std::shared_ptr<owner_shard> owner_table::Get(const std::string& service,
                                              int index) {
  const auto key = std::make_pair(service, index);
  const auto before = shards_.Load();
  if (const auto known = before->find(key); known != before->end()) {
    return known->second;
  }
  const auto fresh = std::make_shared<owner_shard>(node_, service, index);
  {
    const std::lock_guard lock(mutex_);
    auto next = std::make_shared<shard_table>(*shards_.Load());
    const auto [entry, added] = next->emplace(key, fresh);
    if (!added) {
      return entry->second;
    }
    shards_.Store(next);
  }
  fresh->Start();
  return fresh;
}

std::shared_ptr<claim_log> owner_table::Claims(const std::string& service) {
  const std::lock_guard lock(mutex_);
  auto& claims = claims_[service];
  if (!claims) {
    const uint64_t writer = Hash64(node_.settings.node, node_.incarnation);
    const endpoint log{node_.settings.log_host, node_.settings.log_port};
    claims = std::make_shared<claim_log>(node_.context, log, service, writer);
    claims->Start();
  }
  return claims;
}

std::vector<std::shared_ptr<owner_shard>> owner_table::All() const {
  std::vector<std::shared_ptr<owner_shard>> all;
  for (const auto& [key, shard] : *shards_.Load()) {
    all.push_back(shard);
  }
  return all;
}

}  // namespace peridotarch
