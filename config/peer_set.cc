#include "config/peer_set.h"

#include <algorithm>
#include <vector>

namespace peridotarch {

void peer_set::UpdatePeer(const std::string& node, const revision_id& id,
                          millis now) {
  const auto [at, is_new] = peers_.try_emplace(node, peer{id, now, now});
  if (!is_new && at->second.id != id) {
    at->second.id = id;
    at->second.has_id_since = now;
  }
  at->second.heard_at = now;
}

// Chooses at random among the peers that have the newest revision, so that no
// single node answers the whole fleet.
std::optional<std::string> peer_set::ChoosePeer(const revision_id& have,
                                                bool skip_delay,
                                                bool allow_same_number,
                                                millis now) {
  ForgetSilentPeers(now);
  if (!MayFetch(allow_same_number, now)) {
    return std::nullopt;
  }
  const uint64_t newest = NewestNumber();
  if (newest < have.number || (newest == have.number && !allow_same_number)) {
    return std::nullopt;
  }
  std::vector<std::string> choices;
  for (const auto& [node, p] : peers_) {
    const bool ready =
        skip_delay || allow_same_number || now - p.has_id_since >= kFetchDelay;
    if (p.id.number == newest && ready) {
      choices.push_back(node);
    }
  }
  if (choices.size() > 1) {
    std::erase(choices, last_peer_);
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  is_fetching_ = true;
  fetch_started_at_ = now;
  last_peer_ = choices[random_.Below(choices.size())];
  return last_peer_;
}

// The rate is limited by when fetches start, because an answer may fail at once
// or arrive twice.
bool peer_set::MayFetch(bool allow_same_number, millis now) const {
  if (!fetch_started_at_) {
    return true;
  }
  const millis interval = allow_same_number ? kProbeInterval : kFetchInterval;
  return now - *fetch_started_at_ >= (is_fetching_ ? kFetchTimeout : interval);
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
    if (p.id.number < number && (!since || p.has_id_since < *since)) {
      since = p.has_id_since;
    }
  }
  return since;
}

void peer_set::ForgetSilentPeers(millis now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard_at > kForgetAfter;
  });
}

}  // namespace peridotarch
