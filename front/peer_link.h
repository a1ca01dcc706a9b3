#ifndef FRONT_PEER_LINK_H_
#define FRONT_PEER_LINK_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "balance/peer_message.h"

namespace peridotarch {

/// Messages to and from the other nodes of the fleet. They may be lost, late,
/// repeated or out of order. The functions do nothing until the node reports to
/// its peers.
struct peer_link {
  using handler =
      std::function<void(const std::string& sender, std::string_view payload)>;

  /// Sends to the node at the address.
  std::function<void(const std::string&, peer_message_kind, std::string_view)>
      send = [](const std::string&, peer_message_kind, std::string_view) {};
  /// Sends to the live nodes of the own availability zone.
  std::function<void(peer_message_kind, std::string_view)> send_to_zone =
      [](peer_message_kind, std::string_view) {};
  /// Sends to one live node of each other zone, which changes over time.
  std::function<void(peer_message_kind, std::string_view)> send_to_other_zones =
      [](peer_message_kind, std::string_view) {};
  /// Returns the address of a live node, at random, if there is one.
  std::function<std::optional<std::string>()> find_any = [] {
    return std::optional<std::string>();
  };
  /// Returns the nodes of the fleet with this one, silent ones included.
  std::function<int()> count_known = [] { return 1; };
  /// Returns how many live nodes of the own zone go before this one.
  std::function<int()> rank_in_zone = [] { return 0; };
  /// Called with each message of a kind and the address of its sender. A
  /// handler may throw codec_error; the message is then counted as refused.
  std::map<peer_message_kind, handler> handlers;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_LINK_H_
