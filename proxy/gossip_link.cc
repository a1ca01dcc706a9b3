#include "proxy/gossip_link.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/error.h"
#include "proxy/node.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr size_t kMaxDatagram = 2048;
// Hosts' clocks may differ by this much before their messages are refused.
constexpr millis kSealWindow(30'000);

}  // namespace

gossip_link::gossip_link(node& here, const strand& control)
    : node_(here),
      socket_(control,
              udp::endpoint(asio::ip::make_address(here.settings.address),
                            here.settings.inner_port)),
      sealer_(here.settings.fleet_key,
              here.settings.node + "/" + std::to_string(here.incarnation)),
      unsealer_(here.settings.fleet_key, kSealWindow) {}

void gossip_link::Send(std::vector<outgoing_gossip> actions) {
  for (outgoing_gossip& action : actions) {
    const millis wall = wall_clock::Now();
    action.message.at = node_.events.clock().Next(wall);
    const std::string datagram = sealer_.Seal(Encode(action.message), wall);
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(action.address, failure);
    if (failure) {
      continue;
    }
    // Gossip is repeated, so a datagram that cannot be sent now is lost.
    socket_.send_to(asio::buffer(datagram), udp::endpoint(address, action.port),
                    0, failure);
  }
}

awaitable<void> gossip_link::Receive(handler on_message) {
  std::array<char, kMaxDatagram> datagram;
  while (socket_.is_open()) {
    udp::endpoint from;
    boost::system::error_code failure;
    const size_t size = co_await socket_.async_receive_from(
        asio::buffer(datagram), from,
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      Open({datagram.data(), size}, on_message);
    }
  }
}

void gossip_link::Open(std::string_view datagram, const handler& on_message) {
  std::string_view body;
  std::string_view sender;
  if (unsealer_.Open(datagram, wall_clock::Now(), &body, &sender) !=
      seal_result::kAccepted) {
    node_.measures.gossip_dropped.Add();
    return;
  }
  try {
    const gossip_message message = DecodeGossip(body);
    node_.events.clock().Observe(message.at);
    on_message(message);
  } catch (const codec_error&) {
    node_.measures.gossip_dropped.Add();
  }
}

void gossip_link::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace peridotarch
