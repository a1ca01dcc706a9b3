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

/// Longest time between two calls of Tick.
inline constexpr millis kDetectorTick(20);

/// An instance's new state.
struct state_change {
  std::string instance;
  uint64_t incarnation = 0;
  instance_state state = instance_state::kOpen;
  std::string reason;  ///< The evidence, in a few words.
};

/// A record to append to the log's stream of ejections.
struct ledger_append {
  std::string bytes;
};

/// Asks other nodes for their view of an instance (membership::AskOpinions).
struct opinion_request {
  opinion_note about;
};

/// Asks for a probe from this node at once.
struct probe_request {
  std::string instance;
};

/// Tells the peers that an instance is leaving (membership::SpreadLeaving).
struct leaving_announcement {
  leaving_note note;
};

/// Other nodes reach the instance and this node does not, so another node
/// should take over its work.
struct unreachable_here {
  std::string instance;
};

/// An entry for the timeline.
struct timeline_entry {
  event_kind kind = event_kind::kInstanceSuspected;
  std::string subject;
  std::string detail;
};

using detector_action =
    std::variant<state_change, ledger_append, opinion_request, probe_request,
                 leaving_announcement, unreachable_here, timeline_entry>;
using detector_actions = std::vector<detector_action>;

/// Names the process and the shard that a detector works for.
struct detector_identity {
  std::string node;
  uint64_t incarnation = 0;  ///< Incarnation of the node's process.
  std::string service;
  int shard = 0;
};

/// Detects and ejects outliers among the instances of one shard, for the owner
/// of the shard, mainly by the outcomes of real work. `now` is steady-clock
/// time. Not thread-safe.
class outlier_detector {
 public:
  explicit outlier_detector(const detector_identity& identity);

  /// Sets the service's rule and its number of shards.
  void SetService(const service_rule& rule, int shards);

  /// Sets the service's instances as the platform lists them, and the ids of
  /// those in this shard.
  detector_actions SetInstances(std::span<const host> service,
                                std::span<const std::string> own, millis now);

  /// Sets whether this node doubts itself (membership::DoubtsItself).
  void SetNodeSelfDoubt(bool doubts) { node_doubts_itself_ = doubts; }

  /// Sets whether the log is away. It counts as away until it has been read to
  /// its end once.
  detector_actions SetLogAway(bool away);

  /// Notes that an attempt was sent; `attempt` is unique while in flight.
  void OnStart(std::string_view instance, uint64_t attempt, uint32_t route,
               millis now);

  /// Takes the outcome of an attempt.
  detector_actions OnOutcome(std::string_view instance, uint64_t attempt,
                             const outcome& ended, millis now);

  /// Takes the result of a probe from this node.
  detector_actions OnProbe(std::string_view instance, bool answered,
                           millis now);

  /// Notes that the instance is leaving, as it or a peer reported.
  detector_actions OnLeaving(std::string_view instance, uint64_t incarnation,
                             millis now);

  /// Takes the result of a probe from a peer.
  detector_actions OnOpinion(const opinion_note& opinion, millis now);

  /// Takes a record of the stream of ejections; `appended_at` is the log's wall
  /// clock. Records of other services are ignored.
  apply_result OnEjectionRecord(std::string_view bytes, millis appended_at);

  /// Advances time; `wall` is the wall clock at `now`.
  detector_actions Tick(millis now, millis wall);

  /// Gives up the right to eject, when the node stops or no longer owns the
  /// shard.
  detector_actions Resign(millis wall);

  /// Tells whether most instances fail from here, so that this node may be the
  /// cause.
  [[nodiscard]] bool DoubtsItself() const { return doubts_itself_; }

  /// Returns the state of an instance; kLeaving if it is unknown.
  [[nodiscard]] instance_state StateOf(std::string_view instance) const;

  /// Returns the state and its reason for each instance of the shard.
  [[nodiscard]] std::vector<state_change> States() const;

  /// Returns the slots of the service's capacity, in all shards.
  [[nodiscard]] int CapacitySlots() const;

  /// Returns the slots of that capacity that this node has not ejected.
  [[nodiscard]] int HealthySlots() const;

  [[nodiscard]] const ejector& ejection_rights() const { return ejector_; }

 private:
  /// An instance of the service. Evidence is kept for the shard's own
  /// instances.
  struct instance {
    host entry;
    bool is_own = false;  ///< In this shard.
    bool in_first_list = false;
    millis first_seen_at;
    bool is_warm = false;
    instance_state state = instance_state::kOpen;
    std::string reason;
    evidence facts;
    bool is_sick = false;    ///< The evidence suffices for an ejection.
    bool is_absent = false;  ///< Refuses connections, so it is not capacity.
    bool is_unreachable_here = false;  ///< Other nodes reach it.
    bool is_ejected = false;  ///< Ejected or on probation by this node.
    millis state_changed_at;
    millis sick_since;  ///< Wall-clock time.
    millis held_until;  ///< End of the hold; probation follows.
    bool is_on_probation = false;
    int recent_ejections = 0;  ///< Each doubles the hold.
    millis last_ejected_at;
    millis last_probe_answered_at;
    millis last_probe_failed_at;
    millis opinions_asked_at;
    int reached = 0;    ///< Peers that reached it since opinions_asked_at.
    int unreached = 0;  ///< Peers that did not.
  };

  using instance_map = std::map<std::string, instance, std::less<>>;

  instance* FindOwn(std::string_view id);
  void Assess(instance& target, millis now, detector_actions& actions);
  void AssessProbation(instance& target, millis now);
  void MarkSick(instance& target, millis now);
  void ClearSick(instance& target);
  void UpdateAbsence(instance& target, millis now, detector_actions& actions);
  void RequestOpinions(instance& target, millis now, detector_actions& actions);
  [[nodiscard]] bool MayEject(const instance& target, millis now) const;
  void FindCommonCauses(millis now);
  void StartCommonCause(const std::string& zone, millis now);
  [[nodiscard]] bool HasCommonCause(const instance& target, millis now) const;
  void FindSlowZones();
  [[nodiscard]] bool IsMostlyUnanswered(const instance& target) const;
  void UpdateSelfDoubt(detector_actions& actions);
  void ApplyEjections(millis now, detector_actions& actions);
  void UpdateState(instance& target, millis now, detector_actions& actions);
  [[nodiscard]] instance_state NextState(const instance& target) const;
  [[nodiscard]] std::string DescribeState(const instance& target) const;
  [[nodiscard]] capacity_view KnownCapacity() const;
  [[nodiscard]] bool IsCapacity(const instance& target) const;
  const peer_baseline& BaselineFor(const instance& target,
                                   uint32_t route) const;
  void UpdateBaselines(const instance& target, const outcome& ended,
                       millis now);
  [[nodiscard]] double SuspectScore() const;
  [[nodiscard]] double EjectScore() const;

  const detector_identity identity_;
  service_rule rule_;
  int shards_ = 1;
  instance_map instances_;
  leaving_set leaving_;
  ejector ejector_;
  /// Baselines by zone ("" for the whole service) and class of routes.
  std::map<std::string, std::array<peer_baseline, kRouteClasses>, std::less<>>
      baselines_;
  /// Number of own instances in each zone.
  std::map<std::string, int, std::less<>> own_per_zone_;
  /// Until when faults in a zone ("" for the whole service) are attributed to a
  /// common cause (steady clock).
  std::map<std::string, millis, std::less<>> common_cause_until_;
  std::set<std::string, std::less<>> slow_zones_;
  millis wall_offset_;  ///< Wall clock minus steady clock.
  bool has_list_ = false;
  bool node_doubts_itself_ = false;
  bool doubts_itself_ = false;
  bool log_away_ = true;
  bool is_floor_reached_ = false;
};

}  // namespace peridotarch

#endif  // DETECTION_OUTLIER_DETECTOR_H_
