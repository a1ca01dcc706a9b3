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

/// How often a node probes another one and how often the shell calls Tick at
/// least.
inline constexpr millis kProbeInterval(250);
inline constexpr millis kMembershipTick(50);

/// One node of the fleet as this node sees it.
struct member {
  member_record record;
  bool direct = true;  ///< It answered this node's latest direct ping.
};

/// A message for the shell to stamp, seal and send.
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

/// A change for the time line.
struct member_change {
  std::string id;
  uint64_t incarnation = 0;
  member_event what = member_event::kJoined;
  std::string detail;
};

/// Which nodes are in the fleet: gossip with indirect probes, suspicion that
/// its subject can refute, and doubt in oneself. Its cost does not grow with
/// the fleet but for the table itself. Not thread-safe.
class membership {
 public:
  /// `self` describes this node; `seed` drives its random choices.
  membership(member_record self, uint64_t seed);

  /// Tells the revision in force on this node.
  void SetRevision(uint64_t revision, uint64_t digest);

  /// Tells whether this node's view of the instances makes it doubt itself.
  void SetSelfDoubt(bool doubts);

  /// Takes in the platform's list; entries of other services are ignored.
  std::vector<outgoing_gossip> SetSeeds(std::span<const host> hosts,
                                        millis now);

  /// Advances time.
  std::vector<outgoing_gossip> Tick(millis now);

  /// Takes in an authenticated message.
  std::vector<outgoing_gossip> OnMessage(const gossip_message& message,
                                         millis now);

  /// Announces that this node stops.
  std::vector<outgoing_gossip> Leave(millis now);

  /// Asks some nodes to probe an instance.
  std::vector<outgoing_gossip> AskOpinions(const opinion_note& about,
                                           millis now);

  /// Spreads the word that an instance is leaving.
  void SpreadLeaving(const leaving_note& note, millis now);

  /// Returns the nodes that are not known to be gone, this one included, in
  /// order of id.
  [[nodiscard]] std::vector<member> Members() const;

  /// Returns every node that is remembered, also those that have gone.
  [[nodiscard]] size_t Remembered() const { return members_.size(); }

  /// Returns the changes since the last call.
  std::vector<member_change> TakeChanges();

  /// Returns what peers said of leaving instances since the last call.
  std::vector<leaving_note> TakeLeavingInstances();

  /// Returns peers' opinions that have come since the last call.
  std::vector<opinion_note> TakeOpinions();

  /// Returns opinion requests since the last call, each with the answer to be
  /// completed (`reached`, `latency`) and sent once the probe has ended.
  std::vector<outgoing_gossip> TakeOpinionRequests();

  /// This node doubts itself, on the ground of probes or of SetSelfDoubt.
  [[nodiscard]] bool DoubtsItself() const { return self_.doubts; }

  [[nodiscard]] const member_record& self() const { return self_; }

 private:
  struct entry {
    member_record record;
    millis since;           ///< When the state was taken in.
    millis confirmed_by{};  ///< When a suspicion becomes a death.
    bool direct = true;
  };
  struct probe {
    std::string target;
    uint64_t number = 0;
    millis sent;
    bool indirect = false;  ///< Other nodes have been asked.
  };
  /// A ping sent for another node.
  struct relay {
    std::string address;
    uint16_t port = 0;
    uint64_t number = 0;  ///< Of the asker's probe.
    millis sent;
  };

  bool Merge(const member_record& heard, millis now);
  void AnnounceTurn(const member_record& before, const member_record& after);
  void MergeSelf(const member_record& heard);
  void MergeRevision(const revision_note& note);
  void Suspect(entry& suspected, millis now);
  void Announce(const member_record& record, member_event what,
                std::string detail);
  void RaiseVersion();
  void SetOwnDoubts();
  void ProbeNext(millis now, std::vector<outgoing_gossip>& actions);
  void CheckProbes(millis now, std::vector<outgoing_gossip>& actions);
  void AskIndirect(probe& late, std::vector<outgoing_gossip>& actions);
  void EndProbe(const probe& ended, bool answered, millis now);
  void Sweep(millis now);
  void SyncSomeone(millis now, std::vector<outgoing_gossip>& actions);
  void OnAck(const gossip_message& message, millis now,
             std::vector<outgoing_gossip>& actions);
  void OnPingRequest(const gossip_message& message, millis now,
                     std::vector<outgoing_gossip>& actions);
  void OnSync(const gossip_message& message,
              std::vector<outgoing_gossip>& actions);
  gossip_message Compose(gossip_kind kind);
  gossip_message ComposeFor(gossip_kind kind, const std::string& receiver);
  std::vector<const entry*> PickLive(size_t count, std::string_view except);
  std::vector<uint32_t> BucketDigests() const;
  [[nodiscard]] millis SuspicionSpan() const;

  member_record self_;
  random_bits random_;
  std::map<std::string, entry> members_;
  std::unordered_map<uint32_t, std::string> ids_by_hash_;
  std::vector<host> seeds_;
  std::vector<std::string> ring_;  ///< Probe order of this round, from the end.
  std::vector<probe> probes_;
  std::unordered_map<uint64_t, relay> relays_;
  gossip_queue rumours_;
  std::deque<bool> answered_;  ///< Outcomes of the latest probes.
  size_t live_ = 0;            ///< Nodes not gone, as of the latest sweep.
  int health_ = 0;  ///< Local health: zero is good, kWorstHealth is bad.
  bool judge_doubts_ = false;
  bool leaving_ = false;
  uint64_t next_number_ = 1;
  millis next_probe_;
  millis next_sync_;
  std::vector<member_change> changes_;
  std::vector<leaving_note> heard_leaving_;
  std::vector<opinion_note> heard_opinions_;
  std::vector<outgoing_gossip> opinion_requests_;
};

}  // namespace peridotarch

#endif  // DETECTION_MEMBERSHIP_H_
