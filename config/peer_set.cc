#include "config/peer_set.h"

#include <algorithm>
#include <vector>

namespace peridotarch {

void peer_set::UpdatePeer(const std::string& node, const revision_id& id,
                          millis now) {
  const auto [at, fresh] = peers_.try_emplace(node, peer{id, now, now});
  if (!fresh && at->second.id != id) {
    at->second.id = id;
    at->second.since = now;
  }
  at->second.heard = now;
}

// The choice is spread over all peers that have the newest revision, so that
// no node answers the whole fleet.
std::optional<std::string> peer_set::ChoosePeer(const revision_id& have,
                                                bool at_once, bool any,
                                                millis now) {
  Forget(now);
  if (!MayFetch(any, now)) {
    return std::nullopt;
  }
  const uint64_t newest = NewestNumber();
  if (newest < have.number || (newest == have.number && !any)) {
    return std::nullopt;
  }
  std::vector<std::string> choices;
  for (const auto& [node, p] : peers_) {
    const bool ready = at_once || any || now - p.since >= kFetchDelay;
    if (p.id.number == newest && ready) {
      choices.push_back(node);
    }
  }
  if (choices.size() > 1) {
    std::erase(choices, last_);
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  fetching_ = true;
  fetched_at_ = now;
  last_ = choices[random_.Below(choices.size())];
  return last_;
}

// Answers may fail at once or come twice, so the pace does not follow them.
bool peer_set::MayFetch(bool any, millis now) const {
  if (!fetched_at_) {
    return true;
  }
  const millis interval = any ? kProbeInterval : kFetchInterval;
  return now - *fetched_at_ >= (fetching_ ? kFetchTimeout : interval);
}

uint64_t peer_set::NewestNumber() const {
  uint64_t newest = 0;
  for (const auto& [node, p] : peers_) {
    newest = std::max(newest, p.id.number);
  }
  return newest;
}

std::optional<millis> peer_set::BehindSince(uint64_t number) const {
  std::optional<millis> since;
  for (const auto& [node, p] : peers_) {
    if (p.id.number < number && (!since || p.since < *since)) {
      since = p.since;
    }
  }
  return since;
}

void peer_set::Forget(millis now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard > kForgetAfter;
  });
}

}  // namespace peridotarch
