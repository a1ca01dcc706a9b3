#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "detection/membership.h"

// The exchange of member tables.

namespace peridotarch {

namespace {

constexpr size_t kBuckets = 64;
constexpr size_t kSyncBytes = 800;   ///< Records in an answer to a sync.
constexpr size_t kRecordBytes = 28;  ///< A record without its texts.

}  // namespace

// Half of the exchanges go to hosts that the list has and the table has not or
// holds for dead: that joins a new node and heals a partition.
void membership::SyncSomeone(millis now,
                             std::vector<outgoing_gossip>& actions) {
  (void)now;
  gossip_message sync = Compose(gossip_kind::kSync);
  sync.buckets = BucketDigests();
  std::vector<std::pair<std::string, uint16_t>> strangers;
  for (const host& seed : seeds_) {
    const auto it = members_.find(seed.id);
    if (it == members_.end() ||
        it->second.record.state == member_state::kDead) {
      strangers.emplace_back(seed.address, seed.port);
    }
  }
  for (const auto& [id, each] : members_) {
    if (each.record.state == member_state::kDead) {
      strangers.emplace_back(each.record.address, each.record.port);
    }
  }
  const auto live = PickLive(1, self_.id);
  if (!strangers.empty() && (live.empty() || random_.Below(2) == 0)) {
    const auto& [address, port] = strangers[random_.Below(strangers.size())];
    actions.push_back({address, port, std::move(sync)});
    return;
  }
  if (!live.empty()) {
    const member_record& chosen = live.front()->record;
    actions.push_back({chosen.address, chosen.port, std::move(sync)});
  }
}

// The answer starts at a random differing bucket, so that repeated exchanges
// cover a difference that is larger than one answer.
void membership::OnSync(const gossip_message& message,
                        std::vector<outgoing_gossip>& actions) {
  const std::vector<uint32_t> own = BucketDigests();
  if (message.buckets.size() != own.size()) {
    return;
  }
  gossip_message reply = Compose(gossip_kind::kSyncReply);
  const auto asker = members_.find(message.sender.id);
  if (asker != members_.end() &&
      asker->second.record.state != member_state::kAlive) {
    reply.members.push_back(asker->second.record);
  }
  size_t bytes = 0;
  const size_t first = random_.Below(kBuckets);
  for (size_t i = 0; i < kBuckets && bytes < kSyncBytes; ++i) {
    const size_t bucket = (first + i) % kBuckets;
    if (own[bucket] == message.buckets[bucket]) {
      continue;
    }
    for (const auto& [id, each] : members_) {
      if (ShortHash(id) % kBuckets == bucket && bytes < kSyncBytes) {
        reply.members.push_back(each.record);
        bytes += kRecordBytes + id.size() + each.record.address.size() +
                 each.record.zone.size();
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
  for (const auto& [id, each] : members_) {
    add(each.record);
  }
  return digests;
}

}  // namespace peridotarch
