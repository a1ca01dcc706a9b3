#ifndef BALANCE_INSTANCE_SELECTOR_H_
#define BALANCE_INSTANCE_SELECTOR_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balance/instance.h"
#include "balance/instance_health.h"
#include "balance/load_report.h"
#include "core/millis.h"
#include "core/names.h"
#include "core/random.h"

namespace peridotarch {

/// What the choice of an instance depends on.
struct choice_request {
  std::string_view service;
  bool is_retryable = false;  ///< A failure can be repeated elsewhere.
  bool first = true;          ///< No attempt has failed yet.
  int priority = 0;           ///< 0 is the most urgent.
  millis time_left;  ///< Until the caller's deadline or the route's timeout.
  millis objective;  ///< An answer within it has its full value.
  std::span<const instance_key> tried = {};  ///< Not to be chosen again.
};

/// Why an instance was chosen, or none.
enum class choice_basis {
  kRegular,     ///< The least loaded instance that looks healthy.
  kTrial,       ///< A suspect, to learn whether it has recovered.
  kLastResort,  ///< A suspect, since no healthy one can serve in time.
  kNoInstance,  ///< The service has no instance to use.
  kOverload,    ///< None can answer soon enough.
};

template <>
struct names_of<choice_basis> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "regular", "trial", "last_resort", "no_instance", "overload"};
};

/// The instance for an attempt and what decided.
struct instance_choice {
  choice_basis basis = choice_basis::kNoInstance;
  instance_entry instance;  ///< Of the first three bases.
  instance_key key = 0;
  int in_flight = 0;       ///< Of the whole fleet there, before this attempt.
  double work_rounds = 1;  ///< Of work until the answer, with those that wait.
  millis expected;         ///< Until the answer.
  millis slow_after;       ///< An attempt out for longer is suspicious.
  millis retry_after;      ///< Of a refusal: when capacity is expected.
};

/// A change of what the node believes of an instance.
struct health_change {
  std::string instance;
  bool suspect = false;
  attempt_outcome cause = attempt_outcome::kOk;
  std::string told_by;  ///< The peer that saw it; empty: this node.
};

/// The instances of all services with the load and the outcomes that all
/// nodes of the fleet report. Every node chooses for its own callers; there is
/// no owner to wait for. Not thread-safe.
class instance_selector {
 public:
  /// `zone` is this node's; `seed` breaks ties.
  instance_selector(std::string zone, uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  /// Replaces the list of instances; load and outcomes of those that stay are
  /// kept. A start of an instance that was not known begins afresh.
  void SetInstances(std::span<const instance_entry> entries, millis now);

  /// Chooses the instance for one attempt; changes nothing.
  instance_choice Choose(const choice_request& call, millis now);

  /// An attempt begins at the instance.
  void Begin(instance_key instance);
  /// The attempt ended. `work` is how long the instance took for it alone.
  void End(instance_key instance, attempt_outcome outcome, millis work,
           millis now);
  /// Notes an outcome of an attempt that goes on.
  void NoteEarlyOutcome(instance_key instance, attempt_outcome outcome,
                        millis now);

  /// Takes a peer's report into account; an old one is ignored.
  void Apply(const std::string& peer, const load_report& report, millis now);
  /// Forgets the load of peers that have been silent.
  void ForgetSilentPeers(millis now);

  /// Returns this node's load and latest outcomes for its peers.
  [[nodiscard]] load_report MakeReport(millis now) const;
  /// Returns and clears the changes of belief since the last call.
  std::vector<health_change> TakeChanges();

  [[nodiscard]] size_t size() const { return listed_; }
  [[nodiscard]] size_t suspects() const;
  /// Returns the entry of a listed instance, or null.
  [[nodiscard]] const instance_entry* Find(instance_key instance) const;
  /// Returns the requests of this node in flight at all instances.
  [[nodiscard]] int in_flight() const { return in_flight_; }

 private:
  struct tracked {
    /// Returns the requests of the whole fleet there.
    [[nodiscard]] int InFlight() const { return own + others; }
    [[nodiscard]] bool HasRoom() const { return InFlight() < entry.slots; }

    instance_entry entry;
    instance_key key = 0;
    bool listed = false;
    int own = 0;     ///< This node's requests in flight.
    int others = 0;  ///< The peers' as they report.
    millis warm_at;
    millis unreachable_until;  ///< From this node.
    int unreachable_times = 0;
    instance_health health;
  };
  struct peer_state {
    uint32_t incarnation = 0;
    uint32_t number = 0;
    uint32_t outcome = 0;  ///< Number of the last outcome taken.
    millis heard;
    std::vector<load_entry> load;
  };
  struct service_measure {
    void NoteObjective(millis objective);

    double mean_ms = 0;       ///< Moving mean of the work of good answers.
    double objective_ms = 0;  ///< Moving mean over the requests.
    int least_urgent = 0;
    int passed_over = 0;  ///< Requests since the last one that was not.
  };
  struct recent_outcome {
    outcome_entry entry;
    millis at;
  };

  /// How long an answer may take, in ms.
  struct call_limits {
    double mean = 0;         ///< Of the work alone.
    double in_time = 0;      ///< For a request of this priority.
    double most_urgent = 0;  ///< For one of the highest priority.
    double possible = 0;     ///< Until the time left is used up.
  };
  /// The instances of a service that a request may go to.
  struct candidates {
    tracked* trial = nullptr;           ///< Goes before all others.
    std::vector<tracked*> good;         ///< Answer in time.
    std::vector<tracked*> urgent_only;  ///< For more urgent requests only.
    std::vector<tracked*> late;         ///< Still answer, for repeats.
    std::vector<tracked*> shedding;     ///< Suspects with room that shed.
    std::vector<tracked*> doubtful;     ///< Other suspects with room.
    double shortest = 0;                ///< Least time of a sound one, in ms.
  };

  static call_limits LimitsOf(const service_measure& measure,
                              const choice_request& call);
  [[nodiscard]] candidates Sort(const std::vector<tracked*>& members,
                                const choice_request& call,
                                const call_limits& limits, int least_urgent,
                                millis now) const;
  [[nodiscard]] double Load(const tracked& one, millis now) const;
  [[nodiscard]] static double Rounds(const tracked& one);
  [[nodiscard]] static double ExpectedMs(const tracked& one, double mean,
                                         millis now);
  [[nodiscard]] bool MayTry(const tracked& one, const choice_request& call,
                            int least_urgent, millis now) const;
  [[nodiscard]] bool IsOpen(const tracked& one, const choice_request& call,
                            millis now) const;
  [[nodiscard]] instance_choice Chosen(const tracked& one, choice_basis basis,
                                       double mean, millis now) const;
  tracked* BestOf(const std::vector<tracked*>& from, millis now);
  void Learn(tracked& one, attempt_outcome outcome, millis work,
             const std::string& told_by, millis now);
  void Record(instance_key instance, attempt_outcome outcome, millis work,
              millis now);
  void Withdraw(const peer_state& peer);

  const std::string zone_;
  random_bits random_;
  std::unordered_map<instance_key, tracked> instances_;
  std::map<std::string, std::vector<tracked*>, std::less<>> by_service_;
  std::map<std::string, service_measure, std::less<>> measures_;
  std::unordered_map<std::string, peer_state> peers_;
  std::deque<recent_outcome> recent_;
  std::vector<health_change> changes_;
  uint32_t next_outcome_ = 0;
  size_t listed_ = 0;
  int in_flight_ = 0;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_SELECTOR_H_
