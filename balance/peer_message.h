#ifndef BALANCE_PEER_MESSAGE_H_
#define BALANCE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotarch {

/// What a message between nodes is about, beside load reports.
enum class peer_message_kind : uint8_t {
  kFreshnessQuery = 1,  ///< Asks since when the receiver's version is current.
  kFreshnessReply = 2,
  kTeamUsage = 3,  ///< Requests of teams at the sender or in its zone.
};

/// One message. `payload` refers to the datagram.
struct peer_message {
  peer_message_kind kind = peer_message_kind::kFreshnessQuery;
  std::string_view payload;
};

/// Returns the message as a datagram that only holders of the key can make.
std::string EncodePeerMessage(peer_message_kind kind, std::string_view payload,
                              std::string_view fleet_key);

/// Returns whether a datagram is such a message and no load report.
bool IsPeerMessage(std::string_view datagram);

/// Decodes a datagram. Throws codec_error if it is damaged, of an unknown kind
/// or made without `fleet_key`.
peer_message DecodePeerMessage(std::string_view datagram,
                               std::string_view fleet_key);

}  // namespace peridotarch

#endif  // BALANCE_PEER_MESSAGE_H_
