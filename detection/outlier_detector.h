#ifndef DETECTION_OUTLIER_DETECTOR_H_
#define DETECTION_OUTLIER_DETECTOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/rules.h"
#include "core/instance_state.h"
#include "core/millis.h"
#include "core/names.h"
#include "core/timeline.h"
#include "detection/ejector.h"
#include "detection/evidence.h"
#include "detection/leaving.h"
#include "detection/peer_baseline.h"
#include "inner/gossip.h"
#include "platform/host.h"

namespace peridotarch {

/// How often the shell calls Tick at least.
inline constexpr millis kDetectorTick(20);

/// An instance's new state.
struct state_change {
  std::string instance;
  uint64_t incarnation = 0;
  instance_state state = instance_state::kOpen;
  std::string reason;  ///< The evidence, in a few words.
};

/// A record to append to the stream of ejections.
struct ledger_append {
  std::string bytes;
};

/// A question to some other nodes (membership::AskOpinions).
struct opinion_request {
  opinion_note about;
};

/// A probe to send from this node at once.
struct probe_request {
  std::string instance;
};

/// The word that an instance leaves, for the peers (membership::SpreadLeaving).
struct leaving_announcement {
  leaving_note note;
};

/// This node cannot reach an instance that others reach: its work is better
/// handed to another node.
struct unreachable_here {
  std::string instance;
};

/// An entry for the time line.
struct timeline_entry {
  event_kind kind = event_kind::kInstanceSuspected;
  std::string subject;
  std::string detail;
};

using detector_action =
    std::variant<state_change, ledger_append, opinion_request, probe_request,
                 leaving_announcement, unreachable_here, timeline_entry>;
using detector_actions = std::vector<detector_action>;

/// Names the process and the shard that a judge works for.
struct detector_identity {
  std::string node;
  uint64_t incarnation = 0;  ///< Of the node's process.
  std::string service;
  int shard = 0;
};

/// Judges the instances of one shard for its owner, from the outcomes of real
/// work first. Times named `now` are of the steady clock. Not thread-safe.
class outlier_detector {
 public:
  explicit outlier_detector(const detector_identity& identity);

  /// Sets the service's line and its number of shards.
  void SetService(const service_rule& rule, int shards);

  /// Sets the service's instances from the platform's list, and which of them
  /// are of this shard.
  detector_actions SetInstances(std::span<const host> service,
                                std::span<const std::string> own, millis now);

  /// Says whether this node doubts itself (membership::Doubts).
  void SetNodeSelfDoubt(bool doubts) { node_doubts_ = doubts; }

  /// Says whether the log is away; until it was first read to its end it is.
  detector_actions SetLogAway(bool away);

  /// An attempt is sent; `attempt` is unique while it is out.
  void OnStart(std::string_view instance, uint64_t attempt, uint32_t route,
               millis now);

  /// An attempt has ended.
  detector_actions OnOutcome(std::string_view instance, uint64_t attempt,
                             const outcome& ended, millis now);

  /// A probe from this node has ended.
  detector_actions OnProbe(std::string_view instance, bool answered,
                           millis now);

  /// The instance, or a peer, says that it is leaving.
  detector_actions OnLeaving(std::string_view instance, uint64_t incarnation,
                             millis now);

  /// A peer has probed an instance.
  detector_actions OnOpinion(const opinion_note& opinion, millis now);

  /// A record of the stream of ejections was read; those of other services are
  /// ignored.
  apply_result OnEjectionRecord(std::string_view bytes, millis appended_at);

  /// Advances time; `wall` is the wall clock at `now`.
  detector_actions Tick(millis now, millis wall);

  /// The node stops or no longer owns the shard: gives up its rights.
  detector_actions Resign(millis wall);

  /// Most instances fail from here, so this node may be the cause.
  [[nodiscard]] bool DoubtsItself() const { return doubts_; }

  /// State and reason of an instance of the shard.
  [[nodiscard]] instance_state StateOf(std::string_view instance) const;
  [[nodiscard]] std::vector<state_change> States() const;

  /// Slots of the service's capacity in view, and those of it in service.
  [[nodiscard]] int CapacitySlots() const;
  [[nodiscard]] int HealthySlots() const;

  [[nodiscard]] const ejector& rights() const { return ejector_; }

 private:
  /// An instance of the service; evidence is kept for those of the shard.
  struct instance {
    host entry;
    bool own = false;
    bool known_from_start = false;
    millis first_seen;
    bool warm = false;
    instance_state state = instance_state::kOpen;
    std::string reason;
    evidence facts;
    bool sick = false;    ///< The evidence suffices for an ejection.
    bool absent = false;  ///< Refuses connections: no capacity.
    bool cut = false;     ///< Others reach it and this node does not.
    bool out = false;     ///< Kept out by this node.
    millis changed;       ///< When `state` last changed.
    millis sick_since;    ///< Wall clock.
    millis probation_at;  ///< When the hold ends.
    bool probation = false;
    int ejections = 0;  ///< Of late; each doubles the hold.
    millis last_ejection;
    millis last_probe_answered;
    millis last_probe_failed;
    millis opinions_asked;
    int reached = 0;    ///< Peers that reach it, since asked.
    int unreached = 0;  ///< Peers that do not.
  };

  using instance_map = std::map<std::string, instance, std::less<>>;

  instance* Own(std::string_view id);
  void Judge(instance& judged, millis now, detector_actions& actions);
  void JudgeProbation(instance& judged, millis now);
  void Condemn(instance& judged, millis now);
  void Absolve(instance& judged);
  void CheckAbsence(instance& judged, millis now, detector_actions& actions);
  void AskOthers(instance& judged, millis now, detector_actions& actions);
  [[nodiscard]] bool MayEject(const instance& judged, millis now) const;
  void FindCommonCauses(millis now);
  void BeginCause(const std::string& zone, millis now);
  [[nodiscard]] bool HasCommonCause(const instance& judged, millis now) const;
  void FindSlowZones();
  [[nodiscard]] bool Silent(const instance& judged) const;
  void JudgeSelf(detector_actions& actions);
  void ApplyRights(millis now, detector_actions& actions);
  void Publish(instance& judged, millis now, detector_actions& actions);
  [[nodiscard]] instance_state Wanted(const instance& judged) const;
  [[nodiscard]] std::string Reason(const instance& judged) const;
  [[nodiscard]] capacity_view View() const;
  [[nodiscard]] bool IsCapacity(const instance& judged) const;
  const peer_baseline& PeersOf(const instance& judged, uint32_t route) const;
  void Learn(const instance& judged, const outcome& ended, millis now);
  [[nodiscard]] double SuspectScore() const;
  [[nodiscard]] double EjectScore() const;

  const detector_identity identity_;
  service_rule rule_;
  int shards_ = 1;
  instance_map instances_;
  leaving_set leaving_;
  ejector ejector_;
  /// References by zone ("" for the whole service) and class of routes.
  std::map<std::string, std::array<peer_baseline, kRouteClasses>, std::less<>>
      references_;
  std::map<std::string, int, std::less<>> zone_sizes_;
  /// Until when faults in a zone ("" for the whole service) are taken for a
  /// common cause.
  std::map<std::string, millis, std::less<>> causes_;
  std::set<std::string, std::less<>> slow_zones_;
  millis wall_offset_;  ///< Wall clock less steady clock.
  bool listed_ = false;
  bool node_doubts_ = false;
  bool doubts_ = false;
  bool log_away_ = true;
  bool floor_reached_ = false;
};

}  // namespace peridotarch

#endif  // DETECTION_OUTLIER_DETECTOR_H_
