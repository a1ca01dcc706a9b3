#include "balance/peer_message.h"

#include "core/error.h"
#include "core/hash.h"

namespace peridotarch {

namespace {

// Layout: marker (4) | kind (1) | payload | tag (16). A load report begins with
// its incarnation, which never equals the marker, and batches of reports have
// another one.
constexpr std::string_view kMarker = "\xff\xff\xff\xfe";
constexpr size_t kTagBytes = 16;
constexpr auto kLastKind = static_cast<uint8_t>(peer_message_kind::kTeamUsage);

// These messages decide what may run, so that a forged one must have no effect;
// the checksum of load reports is too weak for that.
std::string TagOf(std::string_view text, std::string_view fleet_key) {
  const digest whole = HmacSha256(fleet_key, text);
  return {whole.begin(), whole.begin() + kTagBytes};
}

bool IsTag(std::string_view tag, std::string_view expected) {
  uint8_t difference = 0;
  for (size_t i = 0; i < kTagBytes; ++i) {
    difference |= static_cast<uint8_t>(tag[i] ^ expected[i]);
  }
  return difference == 0;
}

}  // namespace

std::string EncodePeerMessage(peer_message_kind kind, std::string_view payload,
                              std::string_view fleet_key) {
  std::string datagram(kMarker);
  datagram.push_back(static_cast<char>(kind));
  datagram += payload;
  datagram += TagOf(datagram, fleet_key);
  return datagram;
}

bool IsPeerMessage(std::string_view datagram) {
  return datagram.starts_with(kMarker);
}

peer_message DecodePeerMessage(std::string_view datagram,
                               std::string_view fleet_key) {
  constexpr size_t kHeadBytes = kMarker.size() + 1;
  if (!IsPeerMessage(datagram) || datagram.size() < kHeadBytes + kTagBytes) {
    throw codec_error("peer message is cut short");
  }
  const std::string_view text = datagram.substr(0, datagram.size() - kTagBytes);
  if (!IsTag(datagram.substr(text.size()), TagOf(text, fleet_key))) {
    throw codec_error("peer message is damaged or from another fleet");
  }
  const auto kind = static_cast<uint8_t>(text[kMarker.size()]);
  if (kind == 0 || kind > kLastKind) {
    throw codec_error("peer message has an unknown kind");
  }
  return {static_cast<peer_message_kind>(kind), text.substr(kHeadBytes)};
}

}  // namespace peridotarch
