#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "detection/membership.h"

// The part of membership that exchanges member tables.

namespace peridotarch {

namespace {

constexpr size_t kBuckets = 64;
/// Bytes of member records in an answer to a sync.
constexpr size_t kSyncBytes = 800;
constexpr size_t kRecordBytes = 28;  ///< A record without its strings.

}  // namespace

// Half of the exchanges go to nodes that are missing from the table but listed
// by the platform, or that are taken for dead. This joins a new node to the
// fleet and heals a partition.
void membership::StartSync(millis now, std::vector<outgoing_gossip>& actions) {
  (void)now;
  gossip_message sync = Compose(gossip_kind::kSync);
  sync.buckets = BucketDigests();
  std::vector<std::pair<std::string, uint16_t>> missing_nodes;
  for (const host& seed : seeds_) {
    const auto it = members_.find(seed.id);
    if (it == members_.end() ||
        it->second.record.state == member_state::kDead) {
      missing_nodes.emplace_back(seed.address, seed.port);
    }
  }
  for (const auto& [id, known] : members_) {
    if (known.record.state == member_state::kDead) {
      missing_nodes.emplace_back(known.record.address, known.record.port);
    }
  }
  const auto live = PickRandomLive(1, self_.id);
  if (!missing_nodes.empty() && (live.empty() || random_.Below(2) == 0)) {
    const auto& [address, port] =
        missing_nodes[random_.Below(missing_nodes.size())];
    actions.push_back({address, port, std::move(sync)});
    return;
  }
  if (!live.empty()) {
    const member_record& chosen = live.front()->record;
    actions.push_back({chosen.address, chosen.port, std::move(sync)});
  }
}

// The answer starts at a random bucket, so that repeated exchanges cover
// differences that do not fit into one answer.
void membership::OnSync(const gossip_message& message,
                        std::vector<outgoing_gossip>& actions) {
  const std::vector<uint32_t> own = BucketDigests();
  if (message.buckets.size() != own.size()) {
    return;
  }
  gossip_message reply = Compose(gossip_kind::kSyncReply);
  const auto requester = members_.find(message.sender.id);
  if (requester != members_.end() &&
      requester->second.record.state != member_state::kAlive) {
    reply.members.push_back(requester->second.record);
  }
  size_t bytes = 0;
  const size_t first = random_.Below(kBuckets);
  for (size_t i = 0; i < kBuckets && bytes < kSyncBytes; ++i) {
    const size_t bucket = (first + i) % kBuckets;
    if (own[bucket] == message.buckets[bucket]) {
      continue;
    }
    for (const auto& [id, known] : members_) {
      if (ShortHash(id) % kBuckets == bucket && bytes < kSyncBytes) {
        reply.members.push_back(known.record);
        bytes += kRecordBytes + id.size() + known.record.address.size() +
                 known.record.zone.size();
      }
    }
  }
  actions.push_back(
      {message.sender.address, message.sender.port, std::move(reply)});
}

std::vector<uint32_t> membership::BucketDigests() const {
  std::vector<uint32_t> digests(kBuckets, 0);
  const auto add = [&](const member_record& record) {
    const uint32_t hash = ShortHash(record.id);
    const uint64_t mixed =
        Hash64(record.id, record.incarnation * 31 + record.version * 4 +
                              static_cast<uint64_t>(record.state));
    digests[hash % kBuckets] ^= static_cast<uint32_t>(mixed);
  };
  add(self_);
  for (const auto& [id, known] : members_) {
    add(known.record);
  }
  return digests;
}

}  // namespace peridotarch
