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
#include <vector>

#include "balance/reader_choice.h"
#include "balance/relay_choice.h"
#include "core/error.h"
#include "core/hash.h"
#include "platform/endpoint.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr size_t kMaxDatagram = 4096;
constexpr millis kBeat(1'000);
constexpr millis kAlive(3'000);  // three beats
// A success may wait for the next report: it only frees a slot that the peers
// count as taken for that much longer.
constexpr millis kNearDelay(50);
constexpr millis kFarDelay(250);  // a typical request's time

uint32_t KeyAt(const udp::endpoint& at) {
  return NodeKeyOf(ToText({at.address().to_string(), at.port()}));
}

}  // namespace

peer_reporter::peer_reporter(std::shared_ptr<front_node> here)
    : here_(std::move(here)),
      socket_(
          here_->context,
          udp::endpoint(asio::ip::make_address(here_->settings.callers.host),
                        here_->settings.peer_port)),
      near_{asio::steady_timer(here_->context)},
      far_{asio::steady_timer(here_->context)},
      zone_(ZoneKeyOf(here_->settings.zone)),
      own_key_(KeyAt(socket_.local_endpoint())) {
  socket_.non_blocking(true);
}

void peer_reporter::Start(std::function<void(const std::string&)> on_ahead) {
  on_ahead_ = std::move(on_ahead);
  here_->on_load_change = [this](load_change change) { Changed(change); };
  here_->must_read_store = [this] { return MustReadStore(); };
  here_->find_store_reader = [this] { return ReadingPeer(); };
  // The coroutines keep this object alive until the loop has ended.
  const auto self = shared_from_this();
  asio::co_spawn(
      here_->context, [self]() { return self->Receive(); }, asio::detached);
  asio::co_spawn(
      here_->context, [self]() { return self->Beat(); }, asio::detached);
}

void peer_reporter::AddPeer(const host_port& address) {
  error_code failure;
  const auto ip = asio::ip::make_address(address.host, failure);
  const udp::endpoint at(ip, address.port);
  if (failure || at == socket_.local_endpoint()) {
    return;
  }
  if (!peers_.contains(at)) {
    PeerAt(at);
    Greet(at);
  }
}

peer_reporter::peer& peer_reporter::PeerAt(const udp::endpoint& at) {
  peer& known = peers_[at];
  if (known.key == 0) {
    known.key = KeyAt(at);
    by_key_.emplace(known.key, at);
  }
  return known;
}

// After a restart of many nodes each would otherwise judge and count alone
// until the next beat.
void peer_reporter::Greet(const udp::endpoint& at) {
  SendTo(at, NextDatagram(scope::kAll, boot_clock::Now()));
}

void peer_reporter::AnnounceLeaving() { Send(scope::kAll); }

// Work stays in its zone while loads are equal, so the own zone hears of every
// start; bytes to other zones are paid for, and these hear at once only of
// sick instances.
void peer_reporter::Changed(load_change change) {
  switch (change) {
    case load_change::kUrgent:
      Send(scope::kLive);
      return;
    case load_change::kSlotTaken:
      Send(scope::kZone);
      SendSoon(far_, scope::kOtherZones, kFarDelay);
      return;
    case load_change::kSlotFreed:
      SendSoon(near_, scope::kZone, kNearDelay);
      SendSoon(far_, scope::kOtherZones, kFarDelay);
      return;
  }
}

void peer_reporter::SendSoon(delayed_report& report, scope to, millis delay) {
  if (report.armed) {
    return;
  }
  report.armed = true;
  report.timer.expires_after(ToChrono(delay));
  report.timer.async_wait([this, &report, to](const error_code& failure) {
    report.armed = false;
    if (!failure) {
      Send(to);
    }
  });
}

// Nodes that are silent get the beats only: they may be gone for good.
bool peer_reporter::Includes(scope to, const peer& known, millis now) const {
  const bool live = now - known.heard < kAlive;
  switch (to) {
    case scope::kZone:
      return live && known.zone == zone_;
    case scope::kOtherZones:
      return live && known.zone != zone_;
    case scope::kLive:
      return live;
    case scope::kAll:
      return true;
  }
  return true;
}

std::string peer_reporter::NextDatagram(scope to, millis now) {
  load_report report = here_->selector.MakeReport(now);
  report.incarnation = here_->incarnation;
  report.number = ++number_;
  report.zone = zone_;
  report.leaving = here_->draining;
  report.reads_store = here_->reads_store;
  report.instances_offset = static_cast<uint32_t>(here_->instances_offset);
  if (to == scope::kAll || to == scope::kLive) {
    report.usage = here_->retries.Usage(now);
  }
  if (const auto routes = here_->routes.Load()) {
    report.config_version = static_cast<uint32_t>(routes->config().version);
  }
  if (to == scope::kOtherZones) {
    report.relay_for = own_key_;
  }
  return Encode(report, here_->settings.fleet_key);
}

void peer_reporter::Send(scope to) {
  const millis now = boot_clock::Now();
  const std::string datagram = NextDatagram(to, now);
  if (to == scope::kOtherZones) {
    SendToRelays(datagram, now);
  } else {
    SendToEach(to, datagram, now);
  }
}

void peer_reporter::SendToEach(scope to, std::string_view datagram,
                               millis now) {
  for (const auto& [at, known] : peers_) {
    if (Includes(to, known, now)) {
      SendTo(at, datagram);
    }
  }
}

void peer_reporter::SendTo(const udp::endpoint& to, std::string_view datagram) {
  error_code lost;
  // A report that cannot be sent now is repeated by the next one.
  socket_.send_to(asio::buffer(datagram), to, 0, lost);
}

// Bytes between zones are paid for: each zone gets a routine report once, and
// passes it on itself. Beats go to every node, so liveness and the budget's
// figures depend on no other.
void peer_reporter::SendToRelays(std::string_view datagram, millis now) {
  std::vector<const udp::endpoint*> others;
  std::vector<uint16_t> zones;
  for (const auto& [at, known] : peers_) {
    if (Includes(scope::kOtherZones, known, now)) {
      others.push_back(&at);
      zones.push_back(known.zone);
    }
  }
  for (const size_t chosen : ChooseRelays(zones, zone_, here_->random)) {
    SendTo(*others[chosen], datagram);
  }
}

// Who made the report. One that came from its maker and is to be passed on
// goes to the other nodes of this zone; one that a relay passed on does not.
std::optional<udp::endpoint> peer_reporter::SenderOf(
    const udp::endpoint& from, const load_report& report,
    std::string_view datagram) {
  if (report.relay_for == 0) {
    return from;
  }
  if (report.relay_for == PeerAt(from).key) {
    SendToEach(scope::kZone, datagram, boot_clock::Now());
    return from;
  }
  const auto maker = by_key_.find(report.relay_for);
  if (maker == by_key_.end()) {
    return std::nullopt;  // not heard of yet; its beat brings it
  }
  return maker->second;
}

awaitable<void> peer_reporter::Beat() {
  const auto on = socket_.get_executor();
  for (;;) {
    Send(scope::kAll);
    co_await Sleep(on, kBeat);
    const millis now = boot_clock::Now();
    here_->selector.ForgetSilentPeers(now);
    here_->pool.CloseIdle(now);
    CountNodes(now);
  }
}

void peer_reporter::CountNodes(millis now) {
  const auto heard = std::count_if(
      peers_.begin(), peers_.end(),
      [now](const auto& one) { return now - one.second.heard < kAlive; });
  const int nodes = 1 + static_cast<int>(heard);
  if (nodes != here_->nodes) {
    here_->log.Write("nodes_changed", {{"before", here_->nodes},
                                       {"now", nodes},
                                       {"known", peers_.size() + 1}});
    here_->nodes = nodes;
  }
}

bool peer_reporter::IsAhead(const load_report& report) const {
  const auto routes = here_->routes.Load();
  return report.config_version > (routes ? routes->config().version : 0) ||
         report.instances_offset > here_->instances_offset;
}

bool peer_reporter::MustReadStore() const {
  std::vector<reader_candidate> others;
  others.reserve(peers_.size());
  for (const auto& [at, known] : peers_) {
    others.push_back({Hash64(at.address().to_string()), known.zone == zone_,
                      known.reads_store && !known.leaving, known.heard});
  }
  const uint64_t own = Hash64(socket_.local_endpoint().address().to_string());
  return here_->draining || ShouldReadStore(own, others, boot_clock::Now());
}

// One of the own zone where there is one; at random, so that one peer does not
// serve all.
std::optional<std::string> peer_reporter::ReadingPeer() const {
  const millis now = boot_clock::Now();
  std::vector<const udp::endpoint*> near;
  std::vector<const udp::endpoint*> all;
  for (const auto& [at, known] : peers_) {
    if (now - known.heard < kAlive && known.reads_store && !known.leaving) {
      all.push_back(&at);
      if (known.zone == zone_) {
        near.push_back(&at);
      }
    }
  }
  const auto& from = near.empty() ? all : near;
  if (from.empty()) {
    return std::nullopt;
  }
  return from[here_->random.Below(from.size())]->address().to_string();
}

awaitable<void> peer_reporter::Receive() {
  std::array<char, kMaxDatagram> datagram;
  for (;;) {
    udp::endpoint from;
    error_code failure;
    const size_t size = co_await socket_.async_receive_from(
        asio::buffer(datagram), from,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      Take(from, {datagram.data(), size});
    }
  }
}

void peer_reporter::Take(const udp::endpoint& from, std::string_view datagram) {
  try {
    const load_report report =
        DecodeLoadReport(datagram, here_->settings.fleet_key);
    const auto sender = SenderOf(from, report, datagram);
    if (!sender) {
      return;
    }
    const millis now = boot_clock::Now();
    peer& known = PeerAt(*sender);
    const bool was_silent = now - known.heard >= kAlive;
    known.heard = now;
    known.zone = report.zone;
    known.leaving = report.leaving;
    known.reads_store = report.reads_store;
    const std::string name = sender->address().to_string();
    here_->selector.Apply(name, report, now);
    if (!report.usage.empty()) {
      here_->retries.Apply(name, report.usage, now);
    }
    here_->LogHealthChanges();
    if (was_silent && !report.leaving) {
      Greet(*sender);
    }
    if (IsAhead(report)) {
      on_ahead_(name);
    }
  } catch (const codec_error& bad) {
    here_->counters
        .Counter("reports_refused_total", "Load reports that do not decode.")
        .Add();
    here_->log.Write("report_refused", {{"from", from.address().to_string()},
                                        {"error", bad.what()}});
  }
}

}  // namespace peridotarch
