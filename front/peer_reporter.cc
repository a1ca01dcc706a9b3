#include "front/peer_reporter.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "balance/relay_choice.h"
#include "core/error.h"
#include "platform/endpoint.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr size_t kMaxDatagram = 4096;
constexpr millis kHeartbeatInterval(1'000);
constexpr millis kLiveTimeout(3'000);  // three heartbeats
// The report of a success may be delayed: until it arrives, the peers only
// count the freed slot as still taken.
constexpr millis kSameZoneDelay(50);
constexpr millis kOtherZonesDelay(250);  // the time of a typical request
constexpr int kCaughtUpReports = 3;
// With more nodes in other zones than this, they are told of loads by
// heartbeats alone.
constexpr size_t kMaxNodesForLoads = 96;

uint32_t RelayKeyOf(const udp::endpoint& remote) {
  return NodeKeyOf(ToText({remote.address().to_string(), remote.port()}));
}

}  // namespace

peer_reporter::peer_reporter(std::shared_ptr<front_node> node)
    : node_(std::move(node)),
      socket_(
          node_->context,
          udp::endpoint(asio::ip::make_address(node_->settings.callers.host),
                        node_->settings.peer_port)),
      same_zone_report_{asio::steady_timer(node_->context)},
      other_zones_report_{asio::steady_timer(node_->context)},
      zone_(ZoneKeyOf(node_->settings.zone)),
      own_relay_key_(RelayKeyOf(socket_.local_endpoint())) {
  socket_.non_blocking(true);
}

void peer_reporter::Start(std::function<void(const peer_ahead&)> on_ahead) {
  on_ahead_ = std::move(on_ahead);
  node_->on_load_change = [this](load_change change, instance_key key) {
    OnLoadChange(change, key);
  };
  node_->must_read_store = [this] { return MustReadStore(); };
  node_->must_read_store_first = [this] { return MustReadStoreFirst(); };
  node_->find_store_reader = [this] { return FindStoreReader(); };
  // The coroutines keep this object alive until the loop has ended.
  const auto self = shared_from_this();
  asio::co_spawn(
      node_->context, [self]() { return self->Receive(); }, asio::detached);
  asio::co_spawn(
      node_->context, [self]() { return self->SendHeartbeats(); },
      asio::detached);
}

void peer_reporter::AddPeer(const host_port& address) {
  error_code failure;
  const auto ip = asio::ip::make_address(address.host, failure);
  const udp::endpoint remote(ip, address.port);
  if (failure || remote == socket_.local_endpoint()) {
    return;
  }
  if (!peers_.contains(remote)) {
    FindOrAddPeer(remote);
    Greet(remote);
  }
}

peer_reporter::peer_state& peer_reporter::FindOrAddPeer(
    const udp::endpoint& remote) {
  peer_state& state = peers_[remote];
  if (state.relay_key == 0) {
    state.name = remote.address().to_string();
    state.relay_key = RelayKeyOf(remote);
    remotes_by_key_.emplace(state.relay_key, remote);
  }
  return state;
}

// Without this report, nodes that restart together would detect outliers and
// count their retries alone until the next heartbeat.
void peer_reporter::Greet(const udp::endpoint& remote) {
  SendTo(remote, MakeDatagram(report_content::kWithUsage, boot_clock::Now()));
}

void peer_reporter::AnnounceLeaving() {
  Send(recipients::kAll, report_content::kWithUsage);
}

// The nodes that use the same instance are told at once of every attempt that
// begins; the others learn of it from a heartbeat. Failures and changes of the
// store's records are told to all: directly in the own zone, and by relays in
// the others, since traffic between zones costs money.
void peer_reporter::OnLoadChange(load_change change, instance_key key) {
  const auto send_to_zone = [this]() {
    SendToUsersOf(std::exchange(freed_, {}));
  };
  const auto send_to_others = [this]() {
    Send(recipients::kOtherZones, report_content::kLoad);
  };
  switch (change) {
    case load_change::kUrgent:
      Send(recipients::kZone, report_content::kWithUsage);
      Send(recipients::kOtherZones, report_content::kWithUsage);
      return;
    case load_change::kCaughtUp:
      SendToSome();
      return;
    case load_change::kSlotTaken:
      SendToUsersOf({key});
      break;
    case load_change::kSlotFreed:
      freed_.push_back(key);
      SendSoon(same_zone_report_, kSameZoneDelay, send_to_zone);
      break;
  }
  const bool is_other_zone = !node_->selector.HomeOf(key);
  if (is_other_zone || nodes_in_other_zones_ <= kMaxNodesForLoads) {
    SendSoon(other_zones_report_, kOtherZonesDelay, send_to_others);
  }
}

// The nodes that still wait to read the change can then do so here.
void peer_reporter::SendToSome() {
  const millis now = boot_clock::Now();
  std::vector<const udp::endpoint*> own_zone;
  for (const auto& [remote, state] : peers_) {
    if (Includes(recipients::kZone, state, now)) {
      own_zone.push_back(&remote);
    }
  }
  const std::string datagram = MakeDatagram(report_content::kLoad, now);
  for (int i = 0; i < kCaughtUpReports && !own_zone.empty(); ++i) {
    SendTo(*own_zone[node_->random.Below(own_zone.size())], datagram);
  }
}

void peer_reporter::SendToUsersOf(const std::vector<instance_key>& keys) {
  std::vector<home_range> homes;
  for (const instance_key key : keys) {
    if (const auto home = node_->selector.HomeOf(key)) {
      homes.push_back(*home);
    }
  }
  if (homes.empty()) {
    return;
  }
  const millis now = boot_clock::Now();
  const std::string datagram = MakeDatagram(report_content::kLoad, now);
  if (ring_is_outdated_) {
    UpdateRing(now);
  }
  for (const ring_peer& peer : ring_peers_) {
    if (std::any_of(homes.begin(), homes.end(), [&peer](const auto& home) {
          return home.Contains(peer.position);
        })) {
      SendTo(peer.remote, datagram);
    }
  }
}

void peer_reporter::SendSoon(delayed_report& report, millis delay,
                             std::function<void()> send) {
  if (report.is_armed) {
    return;
  }
  report.is_armed = true;
  report.timer.expires_after(ToChrono(delay));
  report.timer.async_wait(
      [&report, send = std::move(send)](const error_code& failure) {
        report.is_armed = false;
        if (!failure) {
          send();
        }
      });
}

// Nodes of other zones are heard directly only once in several heartbeats.
bool peer_reporter::IsLive(const peer_state& state, millis now) const {
  const int intervals = state.zone == zone_ ? 1 : schedule_.intervals();
  return now - state.heard_at < kLiveTimeout * intervals;
}

// Silent nodes get only heartbeats, since they may be gone for good. A node
// that reads the store tells all others every second that it does, or the other
// zones would choose further readers.
bool peer_reporter::Includes(recipients to, const peer_state& state,
                             millis now) const {
  switch (to) {
    case recipients::kZone:
      return state.zone == zone_ && IsLive(state, now);
    case recipients::kOtherZones:
      return state.zone != zone_ && IsLive(state, now);
    case recipients::kHeartbeat:
      return state.zone == zone_ || node_->reads_store ||
             schedule_.IsDue(state.relay_key);
    case recipients::kAll:
      return true;
  }
  return true;
}

std::string peer_reporter::MakeDatagram(report_content content, millis now,
                                        uint32_t relay_for) {
  load_report report = node_->selector.MakeReport(now);
  report.incarnation = node_->incarnation;
  report.number = ++report_number_;
  report.zone = zone_;
  report.leaving = node_->draining;
  report.reads_store = node_->reads_store;
  report.instances_offset = static_cast<uint32_t>(node_->instances_changed_at);
  report.relay_for = relay_for;
  if (content == report_content::kWithUsage) {
    report.usage = node_->retries.Usage(now);
  }
  report.config_version = static_cast<uint32_t>(node_->ConfigVersion());
  return Encode(report, node_->settings.fleet_key);
}

void peer_reporter::Send(recipients to, report_content content) {
  const millis now = boot_clock::Now();
  if (to == recipients::kOtherZones) {
    SendToRelays(MakeDatagram(content, now, own_relay_key_), now);
  } else {
    SendToEach(to, MakeDatagram(content, now), now);
  }
}

void peer_reporter::SendToEach(recipients to, std::string_view datagram,
                               millis now) {
  for (const auto& [remote, state] : peers_) {
    if (Includes(to, state, now)) {
      SendTo(remote, datagram);
    }
  }
}

void peer_reporter::SendTo(const udp::endpoint& to, std::string_view datagram) {
  error_code ignored;
  // If the report cannot be sent now, the next one makes up for it.
  socket_.send_to(asio::buffer(datagram), to, 0, ignored);
}

// Traffic between zones costs money, so a report is sent once to each other
// zone, and the receiver relays it within its zone. Heartbeats go to the nodes
// directly, so liveness does not depend on relays.
void peer_reporter::SendToRelays(std::string_view datagram, millis now) {
  std::vector<const udp::endpoint*> others;
  std::vector<uint16_t> zones;
  for (const auto& [remote, state] : peers_) {
    if (Includes(recipients::kOtherZones, state, now)) {
      others.push_back(&remote);
      zones.push_back(state.zone);
    }
  }
  for (const size_t chosen : ChooseRelays(zones, zone_, node_->random)) {
    SendTo(*others[chosen], datagram);
  }
}

// Returns the node that made the report. A report that arrives from its
// reporter and asks for a relay is sent to the other nodes of this zone; a
// report that was already relayed is not. Returns nullopt if the reporter is
// unknown.
std::optional<udp::endpoint> peer_reporter::ResolveReporter(
    const udp::endpoint& sender, const load_report& report,
    std::string_view datagram) {
  if (report.relay_for == 0) {
    return sender;
  }
  if (report.relay_for == FindOrAddPeer(sender).relay_key) {
    SendToEach(recipients::kZone, datagram, boot_clock::Now());
    return sender;
  }
  const auto reporter = remotes_by_key_.find(report.relay_for);
  if (reporter == remotes_by_key_.end()) {
    return std::nullopt;  // its next heartbeat makes it known
  }
  return reporter->second;
}

awaitable<void> peer_reporter::SendHeartbeats() {
  const auto executor = socket_.get_executor();
  for (;;) {
    UpdateRing(boot_clock::Now());
    schedule_.Advance(nodes_in_other_zones_);
    Send(recipients::kHeartbeat, report_content::kWithUsage);
    co_await Sleep(executor, kHeartbeatInterval);
    const millis now = boot_clock::Now();
    node_->selector.ForgetSilentPeers(now);
    node_->pool.CloseIdle(now);
    node_->CloseIdleCallers(now);
    CountNodes(now);
  }
}

void peer_reporter::UpdateRing(millis now) {
  ring_is_outdated_ = false;
  std::vector<uint32_t> own_zone;
  nodes_in_other_zones_ = 0;
  ring_peers_.clear();
  for (const auto& [remote, state] : peers_) {
    if (state.zone != zone_) {
      ++nodes_in_other_zones_;
      continue;
    }
    if (IsLive(state, now)) {
      ring_peers_.push_back({remote, state.relay_key});
      if (!state.leaving) {
        own_zone.push_back(state.relay_key);
      }
    }
  }
  ring_.Set(own_relay_key_, std::move(own_zone));
  for (ring_peer& peer : ring_peers_) {
    peer.position = ring_.PositionOf(peer.key);
  }
  node_->live_nodes_in_zone = static_cast<int>(ring_.size());
  node_->selector.SetRingPosition(ring_.PositionOf(own_relay_key_),
                                  ring_.size());
}

void peer_reporter::CountNodes(millis now) {
  const auto live = std::count_if(
      peers_.begin(), peers_.end(),
      [this, now](const auto& one) { return IsLive(one.second, now); });
  const int nodes = 1 + static_cast<int>(live);
  if (nodes != node_->live_nodes) {
    node_->log.Write("nodes_changed", {{"before", node_->live_nodes},
                                       {"now", nodes},
                                       {"known", peers_.size() + 1}});
    node_->live_nodes = nodes;
  }
}

awaitable<void> peer_reporter::Receive() {
  std::array<char, kMaxDatagram> datagram;
  for (;;) {
    udp::endpoint sender;
    error_code failure;
    const size_t size = co_await socket_.async_receive_from(
        asio::buffer(datagram), sender,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      HandleDatagram(sender, {datagram.data(), size});
    }
  }
}

void peer_reporter::HandleDatagram(const udp::endpoint& sender,
                                   std::string_view datagram) {
  try {
    const load_report report =
        DecodeLoadReport(datagram, node_->settings.fleet_key);
    const auto reporter = ResolveReporter(sender, report, datagram);
    if (!reporter) {
      return;
    }
    const millis now = boot_clock::Now();
    peer_state& state = FindOrAddPeer(*reporter);
    const bool was_silent = !IsLive(state, now);
    state.heard_at = now;
    state.zone = report.zone;
    state.leaving = report.leaving;
    state.reads_store = report.reads_store;
    state.has_records =
        report.config_version > 0 && report.instances_offset > 0;
    const std::string& name = state.name;
    node_->selector.Apply(name, report, now);
    if (!report.usage.empty()) {
      node_->retries.Apply(name, report.usage, now);
    }
    node_->LogHealthChanges();
    if (was_silent && !report.leaving) {
      ring_is_outdated_ = true;
      Greet(*reporter);
    }
    CompareRecords(name, report);
  } catch (const codec_error& failure) {
    node_->counters
        .Counter("reports_refused_total", "Load reports that do not decode.")
        .Add();
    node_->log.Write("report_refused", {{"from", sender.address().to_string()},
                                        {"error", failure.what()}});
  }
}

}  // namespace peridotarch
