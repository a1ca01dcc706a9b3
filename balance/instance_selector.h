#ifndef BALANCE_INSTANCE_SELECTOR_H_
#define BALANCE_INSTANCE_SELECTOR_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission_order.h"
#include "balance/answer_notice.h"
#include "balance/instance.h"
#include "balance/instance_health.h"
#include "balance/instance_notices.h"
#include "balance/load_change.h"
#include "balance/load_report.h"
#include "balance/node_ring.h"
#include "balance/work_times.h"
#include "core/millis.h"
#include "core/names.h"
#include "core/random.h"

namespace peridotarch {

/// The attempt that an instance is chosen for.
struct choice_request {
  std::string_view service;
  uint32_t route = 0;            ///< Key of the route's name.
  bool is_retryable = false;     ///< May be retried at another instance.
  bool is_first_attempt = true;  ///< No attempt has failed yet.
  int priority = 0;              ///< 0 is the most urgent.
  millis time_left;  ///< Until the caller's deadline or the route's timeout.
  millis objective;  ///< An answer within it has full value.
  admission_mode admission = admission_mode::kPriority;
  millis max_idle_time;  ///< A connection idle for longer is not used.
  std::span<const instance_key> tried = {};  ///< Must not be chosen again.
};

/// Why an instance, or none, was chosen.
enum class choice_basis {
  kRegular,     ///< The least loaded instance that is not suspect.
  kTrial,       ///< A suspect, to find out whether it has recovered.
  kLastResort,  ///< A suspect, as no other instance can answer in time.
  kNoInstance,  ///< The service has no instances that take requests.
  kOverload,    ///< None can answer soon enough.
};

template <>
struct names_of<choice_basis> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "regular", "trial", "last_resort", "no_instance", "overload"};
};

/// The chosen instance and the reason for the choice.
struct instance_choice {
  choice_basis basis = choice_basis::kNoInstance;
  instance_entry instance;  ///< Empty if none was chosen.
  instance_key key = 0;
  int in_flight = 0;       ///< Of all nodes there, before this attempt.
  double work_rounds = 1;  ///< Work times until the answer, queueing included.
  millis expected;         ///< Expected time until the answer.
  millis slow_after;       ///< An attempt that takes longer counts as slow.
  millis retry_after;      ///< If none was chosen: when to expect capacity.
};

/// An instance became suspect or was cleared.
struct health_change {
  std::string instance;
  bool suspect = false;
  attempt_outcome cause = attempt_outcome::kOk;
  std::string told_by;  ///< The peer that reported it; empty: this node.
};

/// Chooses instances by the load and the outcomes that all nodes of the fleet
/// report. Every node chooses for its own callers without waiting for another
/// node. Not thread-safe.
class instance_selector {
 public:
  /// `zone` is the zone of this node, `seed` breaks ties.
  instance_selector(std::string zone, uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  /// Replaces the list of instances. Those that stay keep their load and
  /// health, except that a restarted instance begins with new health.
  void SetInstances(std::span<const instance_entry> entries, millis now);

  /// Sets this node's position among the `nodes` live nodes of its zone, which
  /// decides which instances it prefers.
  void SetRingPosition(double position, size_t nodes);

  /// Chooses the instance for one attempt, but does not begin it.
  instance_choice Choose(const choice_request& request, millis now);

  /// Counts an attempt that begins at the instance.
  void Begin(instance_key key);
  /// Records the end of an attempt. `work` is the time that the instance spent
  /// on it alone, `route` the key of the route's name. Returns what the peers
  /// should know of it.
  load_change End(instance_key key, attempt_outcome outcome, millis work,
                  millis now, uint32_t route = 0);
  /// Records how many idle connections to the instance this node has kept; the
  /// last one became idle now.
  void NoteIdleConnections(instance_key key, int count, millis now);
  /// Records an outcome of an attempt that is still in flight. Returns what the
  /// peers should know of it.
  load_change NoteEarlyOutcome(instance_key key, attempt_outcome outcome,
                               millis now);

  /// Records what an answer of the instance says about it.
  void NoteAnswer(const instance_entry& instance, const answer_notice& notice,
                  millis now);
  /// Drops what instances have said about themselves and holds no longer.
  void PruneNotices(millis now) { notices_.Prune(now); }
  /// Returns and clears the changes of notices since the last call.
  std::vector<notice_change> TakeNoticeChanges() {
    return notices_.TakeChanges();
  }
  /// Returns whether the instance is still listed at this address, and not as
  /// draining.
  [[nodiscard]] bool IsInUse(const instance_entry& instance) const;
  /// Returns whether the instance has said nothing against a request that was
  /// chosen for it.
  [[nodiscard]] bool MaySend(const instance_entry& instance, millis now) const;
  /// Returns the time until the first instance of the service takes requests
  /// again if all rest or are leaving; 0 if one takes requests or none returns.
  [[nodiscard]] millis RestLeft(std::string_view service, millis now) const;

  /// Applies a peer's report. Outdated reports are ignored.
  void Apply(const std::string& peer, const load_report& report, millis now);
  /// Drops the load of peers that have sent no report lately.
  void ForgetSilentPeers(millis now);

  /// Returns this node's load and latest outcomes, to report to its peers.
  [[nodiscard]] load_report MakeReport(millis now) const;
  /// Returns and clears the health changes since the last call.
  std::vector<health_change> TakeChanges();

  /// Returns the number of listed instances.
  [[nodiscard]] size_t size() const { return listed_count_; }
  /// Returns the number of listed instances that are suspect.
  [[nodiscard]] size_t suspects() const { return suspect_count_; }
  /// Returns the entry of a listed instance, or nullptr.
  [[nodiscard]] const instance_entry* Find(instance_key key) const;
  /// Returns the nodes of this zone that use the instance, or nullopt if it is
  /// not listed or is in another zone.
  [[nodiscard]] std::optional<home_range> HomeOf(instance_key key) const;
  /// Returns whether the instance has more than one free slot.
  [[nodiscard]] bool HasSpareSlots(instance_key key) const;
  /// Returns this node's requests in flight at all instances.
  [[nodiscard]] int in_flight() const { return in_flight_; }

 private:
  struct tracked_instance {
    /// Returns the requests of all nodes in flight at the instance.
    [[nodiscard]] int InFlight() const {
      return own_in_flight + peers_in_flight;
    }
    [[nodiscard]] bool HasRoom() const { return InFlight() < entry.slots; }
    /// Returns whether this node has a connection that is idle for at most
    /// `max_idle_time`.
    [[nodiscard]] bool HasConnection(millis max_idle_time, millis now) const {
      return idle_connections > 0 && now - idle_since <= max_idle_time;
    }

    instance_entry entry;
    instance_key key = 0;
    bool is_listed = false;
    home_range home;          ///< For instances in this node's zone.
    bool is_home = false;     ///< This node is in `home`.
    int own_in_flight = 0;    ///< Requests of this node.
    int peers_in_flight = 0;  ///< Requests of the peers, as they report.
    millis cold_until;
    millis unreachable_until;   ///< No attempts by this node until then.
    int unreachable_count = 0;  ///< Since the last good answer.
    int idle_connections = 0;   ///< Kept by this node.
    millis idle_since;          ///< Of the last idle connection.
    millis used_at;             ///< When it last had a request in flight.
    instance_health health;
  };
  struct peer_state {
    uint32_t incarnation = 0;
    uint32_t report_number = 0;  ///< Of the last report applied.
    /// Of the last outcome applied; none since the peer's start.
    std::optional<uint32_t> outcome_number;
    millis heard_at;
    std::vector<load_entry> load;
  };
  struct service_stats {
    work_times work;
    int least_urgent = 0;  ///< Highest priority number seen.
    /// Moving mean of the share of requests that can be retried.
    double retryable_share = 0;
    int reserve_denials = 0;  ///< In a row, see kMaxReserveDenials.
  };
  struct recent_outcome {
    outcome_entry entry;
    millis recorded_at;
  };

  /// The mean work times and limits on the expected latency, all in ms.
  struct latency_limits {
    double mean_work = 0;            ///< Of the request's route.
    double mean_work_in_slot = 0;    ///< Of the requests ahead of it.
    double in_time = 0;              ///< For a request of this priority.
    double in_time_most_urgent = 0;  ///< For a request of the top priority.
    double time_left = 0;            ///< Until the deadline or the timeout.
  };
  /// The instances of a service that may be chosen for a request.
  struct candidates {
    /// The suspect that is due for a trial for the longest; chosen before all
    /// others.
    tracked_instance* trial = nullptr;
    /// Expected to answer in time.
    std::vector<tracked_instance*> in_time;
    /// Expected to answer in time for more urgent requests only.
    std::vector<tracked_instance*> reserved;
    /// Late, but within the time left; only for requests that have failed once.
    std::vector<tracked_instance*> late;
    /// Suspects with room that shed load.
    std::vector<tracked_instance*> shedding;
    /// Suspects with room that have failed a trial.
    std::vector<tracked_instance*> gray;
    /// Other suspects with room.
    std::vector<tracked_instance*> other_suspects;
    /// Least expected latency of an instance that is not suspect, in ms.
    double shortest_ms = 0;
  };

  /// Returns whether enough of the service's requests can be retried to find
  /// out about its instances.
  static bool HasRetryableTraffic(const service_stats& stats);
  static latency_limits LimitsFor(const service_stats& stats,
                                  const choice_request& request);
  [[nodiscard]] candidates FindCandidates(
      const std::vector<tracked_instance*>& members,
      const choice_request& request, const latency_limits& limits,
      const service_stats& stats, millis now) const;
  [[nodiscard]] double LoadOf(const tracked_instance& instance,
                              millis now) const;
  [[nodiscard]] static double WorkRounds(const tracked_instance& instance);
  [[nodiscard]] static double ExpectedMs(const tracked_instance& instance,
                                         const latency_limits& limits,
                                         millis now);
  [[nodiscard]] bool IsDueForTrial(const tracked_instance& instance,
                                   const choice_request& request,
                                   const service_stats& stats,
                                   millis now) const;
  [[nodiscard]] bool IsSelectable(const tracked_instance& instance,
                                  const choice_request& request,
                                  millis now) const;
  /// Returns the suspect that is due for a trial for longer; `one` may be null.
  static tracked_instance* LongerDue(tracked_instance* one,
                                     tracked_instance* other, millis now);
  [[nodiscard]] instance_choice MakeChoice(const tracked_instance& instance,
                                           choice_basis basis,
                                           const latency_limits& limits,
                                           millis now) const;
  /// Returns nullptr if `instances` is empty.
  tracked_instance* LeastLoaded(const std::vector<tracked_instance*>& instances,
                                const choice_request& request,
                                const latency_limits& limits,
                                const service_stats& stats, millis now);
  void ApplyOutcome(tracked_instance& instance, attempt_outcome outcome,
                    const std::string& told_by, millis ended_at);
  [[nodiscard]] bool AllLeave(
      const std::vector<tracked_instance*>& members) const;
  void NoteLeaving(const instance_entry& instance, millis now);
  void NoteLeavingAt(const instance_entry& address, millis now);
  void CountSuspects();
  void AssignHomes();
  /// `start` is set for kLeaving alone.
  void AddRecentOutcome(instance_key key, attempt_outcome outcome, millis now,
                        uint16_t start = 0);
  void ApplyReported(tracked_instance& instance, const outcome_entry& reported,
                     const std::string& peer, millis now);
  void SubtractLoad(const peer_state& peer);
  /// Replaces the load that the peer has reported.
  void ApplyLoad(const std::vector<load_entry>& load, peer_state& peer,
                 millis now);

  const std::string zone_;
  double ring_position_ = 0;
  size_t zone_nodes_ = 1;  ///< Live nodes in this zone, with this one.
  random_bits random_;
  std::unordered_map<instance_key, tracked_instance> instances_;
  instance_notices notices_;
  std::map<std::string, std::vector<tracked_instance*>, std::less<>>
      by_service_;
  std::map<std::string, service_stats, std::less<>> stats_;
  std::unordered_map<std::string, peer_state> peers_;
  std::deque<recent_outcome> recent_outcomes_;
  std::vector<health_change> changes_;
  uint32_t last_outcome_number_ = 0;
  size_t listed_count_ = 0;
  size_t suspect_count_ = 0;  ///< Listed instances that are suspect.
  /// Instances at which this node has requests in flight.
  std::vector<tracked_instance*> busy_;
  int in_flight_ = 0;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_SELECTOR_H_
