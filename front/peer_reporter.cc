#include "front/peer_reporter.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "balance/report_batch.h"
#include "core/error.h"
#include "platform/endpoint.h"
#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr size_t kMaxDatagram = 4096;
constexpr int kMaxDatagramsInRow = 64;  // then other work has its turn
constexpr millis kHeartbeatInterval(1'000);
constexpr millis kLiveTimeout(3'000);  // three heartbeats

uint32_t RelayKeyOf(const udp::endpoint& remote) {
  return NodeKeyOf(ToText({remote.address().to_string(), remote.port()}));
}

}  // namespace

// The nodes' addresses are IPv4; all nodes have the same port.
size_t peer_reporter::endpoint_hash::operator()(
    const udp::endpoint& remote) const {
  const asio::ip::address address = remote.address();
  return address.is_v4() ? address.to_v4().to_uint() : remote.port();
}

peer_reporter::peer_reporter(std::shared_ptr<front_node> node)
    : node_(std::move(node)),
      socket_(
          node_->context,
          udp::endpoint(asio::ip::make_address(node_->settings.callers.host),
                        node_->settings.peer_port)),
      same_zone_report_{guarded_timer(node_->context.get_executor())},
      other_zones_report_{guarded_timer(node_->context.get_executor())},
      whole_zone_report_{guarded_timer(node_->context.get_executor())},
      relayed_reports_{guarded_timer(node_->context.get_executor())},
      takeover_timer_(node_->context.get_executor()),
      zone_(ZoneKeyOf(node_->settings.zone)),
      own_relay_key_(RelayKeyOf(socket_.local_endpoint())) {
  socket_.non_blocking(true);
}

void peer_reporter::Start(std::function<void(const peer_ahead&)> on_ahead) {
  on_ahead_ = std::move(on_ahead);
  SetNodeHooks();
  SetPeerLink();
  // The coroutines keep this object alive until the loop has ended.
  const auto self = shared_from_this();
  SpawnLoop(node_->context, "receive_reports",
            [self]() { return self->Receive(); });
  SpawnLoop(node_->context, "heartbeats",
            [self]() { return self->SendHeartbeats(); });
}

// The node may outlive this object.
void peer_reporter::SetNodeHooks() {
  const std::weak_ptr<peer_reporter> weak = weak_from_this();
  node_->on_load_change = [weak](load_change change, instance_key key) {
    if (const auto self = weak.lock()) {
      self->OnLoadChange(change, key);
    }
  };
  node_->must_read_store = [weak] {
    const auto self = weak.lock();
    return !self || self->MustReadStore();
  };
  node_->must_read_store_first = [weak] {
    const auto self = weak.lock();
    return !self || self->MustReadStoreFirst();
  };
  node_->find_store_reader = [weak] {
    const auto self = weak.lock();
    return self ? self->FindStoreReader() : std::nullopt;
  };
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
    state.added_at = boot_clock::Now();
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
    RelayInZone(datagram);
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
    node_->selector.PruneNotices(now);
    node_->LogHealthChanges();
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

// Reads all datagrams that have arrived each time the socket is readable, which
// takes fewer system calls than a wait for each.
awaitable<void> peer_reporter::Receive() {
  std::array<char, kMaxDatagram> datagram;
  for (;;) {
    udp::endpoint sender;
    error_code failure;
    size_t size = co_await socket_.async_receive_from(
        asio::buffer(datagram), sender,
        asio::redirect_error(asio::use_awaitable, failure));
    for (int handled = 1; !failure; ++handled) {
      HandleDatagram(sender, {datagram.data(), size});
      if (handled == kMaxDatagramsInRow) {
        break;
      }
      size = socket_.receive_from(asio::buffer(datagram), sender, 0, failure);
    }
  }
}

void peer_reporter::HandleDatagram(const udp::endpoint& sender,
                                   std::string_view datagram) {
  try {
    if (IsPeerMessage(datagram)) {
      HandleMessage(sender, datagram);
      return;
    }
    for (const std::string_view report : SplitReports(datagram)) {
      HandleReport(sender, report);
    }
  } catch (const codec_error& failure) {
    node_->counters
        .Counter("reports_refused_total",
                 "Reports and messages of peers that do not decode.")
        .Add();
    node_->log.Write("report_refused", {{"from", sender.address().to_string()},
                                        {"error", failure.what()}});
  }
}

void peer_reporter::HandleReport(const udp::endpoint& sender,
                                 std::string_view datagram) {
  const load_report report =
      DecodeLoadReport(datagram, node_->settings.fleet_key);
  const auto reporter = ResolveReporter(sender, report, datagram);
  if (!reporter) {
    return;
  }
  const millis now = boot_clock::Now();
  peer_state& state = FindOrAddPeer(*reporter);
  const bool was_silent = !IsLive(state, now);
  const bool was_reader = state.reads_store && !state.leaving;
  state.heard_at = now;
  state.zone = report.zone;
  state.leaving = report.leaving;
  state.reads_store = report.reads_store;
  state.has_records = report.config_version > 0 && report.instances_offset > 0;
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
  if (was_reader && (!state.reads_store || state.leaving)) {
    OnReaderLost();
  }
}

}  // namespace peridotarch
