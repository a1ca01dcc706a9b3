#ifndef INNER_GOSSIP_H_
#define INNER_GOSSIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/hybrid_clock.h"
#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// What a gossip message asks or answers.
enum class gossip_kind {
  kPing,            ///< Asks for an acknowledgement.
  kAck,             ///< Answers a ping.
  kPingRequest,     ///< Asks the receiver to ping `target` for the sender.
  kSync,            ///< Carries the digests of the sender's member table.
  kSyncReply,       ///< Carries member records of differing buckets.
  kLeave,           ///< The sender is about to stop.
  kOpinionRequest,  ///< Asks the receiver to probe an instance.
  kOpinion,         ///< Answers an opinion request.
};

template <>
struct names_of<gossip_kind> {
  static constexpr std::array<std::string_view, 8> kTable = {
      "ping",       "ack",   "ping_request",    "sync",
      "sync_reply", "leave", "opinion_request", "opinion"};
};

/// What the fleet believes of one of its nodes.
enum class member_state { kAlive, kSuspect, kDead, kLeft };

template <>
struct names_of<member_state> {
  static constexpr std::array<std::string_view, 4> kTable = {"alive", "suspect",
                                                             "dead", "left"};
};

/// One node as gossip describes it.
struct member_record {
  std::string id;
  uint64_t incarnation = 0;  ///< Of the process; a replaced one has a higher.
  uint64_t version = 0;      ///< Raised by the node itself, also to refute.
  std::string address;       ///< IP address of the inner listener.
  uint16_t port = 0;         ///< Port of the inner listener, TCP and UDP.
  std::string zone;
  member_state state = member_state::kAlive;
  bool doubts = false;    ///< The node takes the faults it sees for its own.
  uint64_t revision = 0;  ///< Configuration revision in force.
  uint64_t digest = 0;    ///< First eight bytes of that revision's digest.

  bool operator==(const member_record&) const = default;
};

/// The node is not known to be gone.
inline bool IsLive(const member_record& record) {
  return record.state == member_state::kAlive ||
         record.state == member_state::kSuspect;
}

/// Names a node in a revision note: the low half of the hash of its id.
uint32_t ShortHash(std::string_view id);

/// A node's revision in force, in short form.
struct revision_note {
  uint32_t node = 0;  ///< ShortHash of the node's id.
  uint64_t revision = 0;

  bool operator==(const revision_note&) const = default;
};

/// An instance that must get no new work.
struct leaving_note {
  std::string service;
  std::string instance;
  uint64_t incarnation = 0;

  auto operator<=>(const leaving_note&) const = default;
};

/// A second opinion on an instance, or the request for one.
struct opinion_note {
  std::string service;
  std::string instance;
  uint64_t incarnation = 0;
  std::string address;
  uint16_t port = 0;
  bool reached = false;  ///< The probe was answered.
  millis latency;        ///< Of the probe.

  bool operator==(const opinion_note&) const = default;
};

/// A message between two nodes; sealed before it is sent.
struct gossip_message {
  gossip_kind kind = gossip_kind::kPing;
  hybrid_time at;        ///< The sender's hybrid clock, for the time line.
  member_record sender;  ///< The sender as it describes itself.
  uint64_t number = 0;   ///< Pairs an answer with its question.
  std::string target;    ///< Node id that a ping request is about.
  std::string target_address;
  uint16_t target_port = 0;
  std::vector<member_record> members;
  std::vector<revision_note> revisions;
  std::vector<leaving_note> leaving;
  std::vector<uint32_t> buckets;  ///< Digests of the member table.
  std::vector<opinion_note> opinions;
};

/// Largest encoded message that is sent, in bytes, before its seal.
inline constexpr size_t kMaxGossipBytes = 1100;

/// Encodes a message as MessagePack.
std::string Encode(const gossip_message& message);

/// Decodes a message; throws codec_error when it is malformed.
gossip_message DecodeGossip(std::string_view bytes);

}  // namespace peridotarch

#endif  // INNER_GOSSIP_H_
