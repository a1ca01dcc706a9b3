#ifndef DETECTION_MEMBERSHIP_H_
#define DETECTION_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/millis.h"
#include "core/names.h"
#include "core/random.h"
#include "detection/gossip_queue.h"
#include "inner/gossip.h"
#include "platform/host.h"

namespace peridotarch {

/// How often a node probes another one.
inline constexpr millis kProbeInterval(250);

/// Longest time between two calls of Tick.
inline constexpr millis kMembershipTick(50);

/// One node of the fleet as this node sees it.
struct member {
  member_record record;
  /// False after the node did not answer a direct ping from this node in time.
  bool answers_directly = true;
};

/// A message to be stamped, sealed and sent to an address.
struct outgoing_gossip {
  std::string address;
  uint16_t port = 0;
  gossip_message message;
};

/// What changed about a node.
enum class member_event { kJoined, kSuspected, kCleared, kLeft, kDoubts };

template <>
struct names_of<member_event> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "joined", "suspected", "cleared", "left", "doubts"};
};

/// A change of a member, for the timeline.
struct member_change {
  std::string id;
  uint64_t incarnation = 0;
  member_event event = member_event::kJoined;
  std::string detail;
};

/// Keeps track of the nodes in the fleet by gossip, with indirect probes,
/// suspicions that the suspected node can refute, and self-doubt: a node tells
/// the others that it may itself be at fault when most of its probes or
/// instances fail. Apart from the member table its cost does not grow with the
/// fleet. Not thread-safe.
class membership {
 public:
  /// `self` describes this node; `seed` is for its random choices.
  membership(member_record self, uint64_t seed);

  /// Sets the configuration revision in force on this node.
  void SetRevision(uint64_t revision, uint64_t digest);

  /// Sets whether the instances give this node reason to doubt itself.
  void SetSelfDoubt(bool doubts);

  /// Sets the platform's list of hosts; entries of other services are ignored.
  std::vector<outgoing_gossip> SetSeeds(std::span<const host> hosts,
                                        millis now);

  /// Advances time: sends probes, ends suspicions and exchanges tables.
  std::vector<outgoing_gossip> Tick(millis now);

  /// Handles an authenticated message and returns the answers to it.
  std::vector<outgoing_gossip> OnMessage(const gossip_message& message,
                                         millis now);

  /// Announces that this node stops.
  std::vector<outgoing_gossip> Leave(millis now);

  /// Asks some nodes to probe an instance.
  std::vector<outgoing_gossip> AskOpinions(const opinion_note& about,
                                           millis now);

  /// Spreads by gossip that an instance is leaving.
  void SpreadLeaving(const leaving_note& note, millis now);

  /// Returns the nodes that are not known to be gone, including this one,
  /// ordered by id.
  [[nodiscard]] std::vector<member> Members() const;

  /// Returns the number of other nodes in the table, including those gone.
  [[nodiscard]] size_t RememberedCount() const { return members_.size(); }

  /// Returns the changes since the last call.
  std::vector<member_change> TakeChanges();

  /// Returns the leaving instances that peers reported since the last call.
  std::vector<leaving_note> TakeLeavingInstances();

  /// Returns the opinions received from peers since the last call.
  std::vector<opinion_note> TakeOpinions();

  /// Returns the answers to opinion requests received since the last call. Set
  /// `reached` and `latency` in each and send it once the probe has ended.
  std::vector<outgoing_gossip> TakeOpinionRequests();

  /// Tells whether this node doubts itself, by its probes or by SetSelfDoubt.
  [[nodiscard]] bool DoubtsItself() const { return self_.doubts; }

  [[nodiscard]] const member_record& self() const { return self_; }

 private:
  struct entry {
    member_record record;
    millis state_since;        ///< When this node learned the state.
    millis suspected_until{};  ///< When a suspected node is declared dead.
    bool answers_directly = true;
  };
  struct probe {
    std::string target;
    uint64_t number = 0;
    millis sent_at;
    bool is_indirect = false;  ///< Other nodes have been asked to ping.
  };
  /// A ping sent on behalf of another node.
  struct relay {
    std::string address;
    uint16_t port = 0;
    uint64_t number = 0;  ///< Number of the requester's probe.
    millis sent_at;
  };

  bool Merge(const member_record& heard, millis now);
  void AnnounceStateChange(const member_record& before,
                           const member_record& after);
  void MergeSelf(const member_record& heard);
  void MergeRevision(const revision_note& note);
  void MarkSuspect(entry& suspected, millis now);
  void Announce(const member_record& record, member_event event,
                std::string detail);
  void IncrementVersion();
  void UpdateSelfDoubt();
  void ProbeNext(millis now, std::vector<outgoing_gossip>& actions);
  void CheckProbes(millis now, std::vector<outgoing_gossip>& actions);
  void RequestIndirectProbes(probe& late,
                             std::vector<outgoing_gossip>& actions);
  void EndProbe(const probe& ended, bool answered, millis now);
  void ExpireMembers(millis now);
  void StartSync(millis now, std::vector<outgoing_gossip>& actions);
  void OnAck(const gossip_message& message, millis now,
             std::vector<outgoing_gossip>& actions);
  void OnPingRequest(const gossip_message& message, millis now,
                     std::vector<outgoing_gossip>& actions);
  void OnSync(const gossip_message& message,
              std::vector<outgoing_gossip>& actions);
  gossip_message Compose(gossip_kind kind);
  gossip_message ComposeFor(gossip_kind kind, const std::string& receiver);
  std::vector<const entry*> PickRandomLive(size_t count,
                                           std::string_view except);
  std::vector<uint32_t> BucketDigests() const;
  [[nodiscard]] millis SuspicionTimeout() const;

  member_record self_;
  random_bits random_;
  std::map<std::string, entry> members_;
  std::unordered_map<uint32_t, std::string> id_by_hash_;
  std::vector<host> seeds_;
  /// Nodes still to be probed in this round, the last one first.
  std::vector<std::string> probe_order_;
  std::vector<probe> probes_;
  std::unordered_map<uint64_t, relay> relays_;
  gossip_queue gossip_queue_;
  std::deque<bool> probe_results_;  ///< Outcomes of the latest probes.
  size_t live_count_ = 0;  ///< Live nodes as of the latest ExpireMembers.
  /// Local health multiplier: zero is healthy, kMaxHealthPenalty is worst.
  int health_penalty_ = 0;
  bool instances_cause_doubt_ = false;
  bool is_leaving_ = false;
  uint64_t next_number_ = 1;
  millis next_probe_at_;
  millis next_sync_at_;
  std::vector<member_change> changes_;
  std::vector<leaving_note> reported_leaving_;
  std::vector<opinion_note> received_opinions_;
  std::vector<outgoing_gossip> opinion_requests_;
};

}  // namespace peridotarch

#endif  // DETECTION_MEMBERSHIP_H_
