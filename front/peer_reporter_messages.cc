// Messages of other parts of the node, sent and received beside the reports.
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "balance/relay_choice.h"
#include "front/peer_reporter.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// A node that is silent for longer has ended. Until then it may be cut off from
// this node and go on serving.
constexpr millis kKnownTime(120'000);

}  // namespace

// The node may outlive this object.
void peer_reporter::SetPeerLink() {
  const std::weak_ptr<peer_reporter> weak = weak_from_this();
  node_->peers.send = [weak](const std::string& address, peer_message_kind kind,
                             std::string_view payload) {
    if (const auto self = weak.lock()) {
      self->SendMessage(address, kind, payload);
    }
  };
  node_->peers.find_any = [weak] {
    const auto self = weak.lock();
    return self ? self->FindLivePeer() : std::nullopt;
  };
  node_->peers.count_known = [weak] {
    const auto self = weak.lock();
    return self ? self->CountKnownNodes() : 1;
  };
  node_->peers.rank_in_zone = [weak] {
    const auto self = weak.lock();
    return self ? self->RankInZone() : 0;
  };
  node_->peers.send_to_zone = [weak](peer_message_kind kind,
                                     std::string_view payload) {
    if (const auto self = weak.lock()) {
      self->SendToEach(recipients::kZone, self->MakeMessage(kind, payload),
                       boot_clock::Now());
    }
  };
  node_->peers.send_to_other_zones = [weak](peer_message_kind kind,
                                            std::string_view payload) {
    if (const auto self = weak.lock()) {
      self->SendToOneOfEachZone(self->MakeMessage(kind, payload));
    }
  };
}

std::string peer_reporter::MakeMessage(peer_message_kind kind,
                                       std::string_view payload) const {
  return EncodePeerMessage(kind, payload, node_->settings.fleet_key);
}

void peer_reporter::SendMessage(const std::string& address,
                                peer_message_kind kind,
                                std::string_view payload) {
  boost::system::error_code failure;
  const auto ip = asio::ip::make_address(address, failure);
  if (!failure) {
    SendTo({ip, node_->settings.peer_port}, MakeMessage(kind, payload));
  }
}

std::optional<std::string> peer_reporter::FindLivePeer() const {
  const millis now = boot_clock::Now();
  std::vector<const peer_state*> live;
  for (const auto& [remote, state] : peers_) {
    if (IsLive(state, now)) {
      live.push_back(&state);
    }
  }
  if (live.empty()) {
    return std::nullopt;
  }
  return live[node_->random.Below(live.size())]->name;
}

// A node that was never heard may still start, or be cut off from this one.
int peer_reporter::CountKnownNodes() const {
  const millis now = boot_clock::Now();
  return 1 + static_cast<int>(std::count_if(
                 peers_.begin(), peers_.end(), [this, now](const auto& one) {
                   const peer_state& state = one.second;
                   const bool has_left = state.leaving && !IsLive(state, now);
                   return !has_left &&
                          now - std::max(state.heard_at, state.added_at) <
                              kKnownTime;
                 }));
}

int peer_reporter::RankInZone() const {
  const millis now = boot_clock::Now();
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& one) {
        const peer_state& state = one.second;
        return state.zone == zone_ && IsLive(state, now) && !state.leaving &&
               state.relay_key < own_relay_key_;
      }));
}

void peer_reporter::HandleMessage(const udp::endpoint& sender,
                                  std::string_view datagram) {
  const peer_message message =
      DecodePeerMessage(datagram, node_->settings.fleet_key);
  const auto found = node_->peers.handlers.find(message.kind);
  if (found != node_->peers.handlers.end()) {
    found->second(sender.address().to_string(), message.payload);
  }
}

}  // namespace peridotarch
