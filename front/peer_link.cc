#include "front/peer_link.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"
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
constexpr millis kGather(50);

}  // namespace

peer_link::peer_link(std::shared_ptr<front_node> here)
    : here_(std::move(here)),
      socket_(
          here_->context,
          udp::endpoint(asio::ip::make_address(here_->settings.callers.host),
                        here_->settings.peer_port)),
      delay_(here_->context) {
  socket_.non_blocking(true);
}

void peer_link::Start(std::function<void()> on_newer_config) {
  on_newer_config_ = std::move(on_newer_config);
  here_->load_changed = [this](bool at_once) { Changed(at_once); };
  asio::co_spawn(here_->context, Receive(), asio::detached);
  asio::co_spawn(here_->context, Beat(), asio::detached);
}

void peer_link::AddPeer(const host_port& address) {
  error_code failure;
  const auto ip = asio::ip::make_address(address.host, failure);
  const udp::endpoint at(ip, address.port);
  if (failure || at == socket_.local_endpoint()) {
    return;
  }
  peers_.try_emplace(at, peer{at, millis(0), false});
}

void peer_link::SayLeaving() { Send(true); }

void peer_link::Changed(bool at_once) {
  if (at_once) {
    delay_.cancel();
    delayed_ = false;
    Send(false);
    return;
  }
  if (delayed_) {
    return;
  }
  delayed_ = true;
  delay_.expires_after(ToChrono(kGather));
  delay_.async_wait([this](const error_code& failure) {
    if (!failure) {
      delayed_ = false;
      Send(false);
    }
  });
}

// Nodes that are silent get the beats only: they may be gone for good.
void peer_link::Send(bool to_all) {
  const millis now = boot_clock::Now();
  sent_at_ = now;
  load_report report = here_->board.MakeReport(now);
  report.incarnation = here_->incarnation;
  report.number = ++number_;
  report.leaving = here_->draining;
  report.usage = here_->retries.Usage(now);
  if (const auto routes = here_->routes.Load()) {
    report.config_version = routes->config().version;
  }
  const std::string datagram = Encode(report, here_->settings.fleet_key);
  for (const auto& [at, known] : peers_) {
    if (to_all || now - known.heard < kAlive) {
      error_code lost;
      // A report that cannot be sent now is repeated by the next one.
      socket_.send_to(asio::buffer(datagram), at, 0, lost);
    }
  }
}

awaitable<void> peer_link::Beat() {
  const auto on = socket_.get_executor();
  for (;;) {
    Send(true);
    co_await Sleep(on, kBeat);
    const millis now = boot_clock::Now();
    here_->board.ForgetSilent(now);
    here_->pool.CloseIdle(now);
    CountNodes(now);
  }
}

void peer_link::CountNodes(millis now) {
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

awaitable<void> peer_link::Receive() {
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

void peer_link::Take(const udp::endpoint& from, std::string_view datagram) {
  try {
    const load_report report =
        DecodeLoadReport(datagram, here_->settings.fleet_key);
    const millis now = boot_clock::Now();
    peer& known =
        peers_.try_emplace(from, peer{from, millis(0), false}).first->second;
    known.heard = now;
    known.leaving = report.leaving;
    here_->board.Apply(from.address().to_string(), report, now);
    here_->retries.Apply(from.address().to_string(), report.usage, now);
    here_->LogHealthChanges();
    const auto routes = here_->routes.Load();
    if (report.config_version > (routes ? routes->config().version : 0)) {
      on_newer_config_();
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
