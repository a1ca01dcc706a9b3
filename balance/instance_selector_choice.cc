// The choice of an instance for one attempt.
#include <algorithm>
#include <tuple>

#include "admission/admission_order.h"
#include "balance/instance_selector.h"
#include "balance/retry_delay.h"

namespace peridotarch {

namespace {

// Work times vary widely: one healthy request in a hundred takes longer.
constexpr double kSlowFactor = 4;
// If the time left is shorter, an attempt counts as slow near its end.
constexpr double kMinSlowFactor = 2;
constexpr double kSlowTimeShare = 0.9;
constexpr millis kMinSlowAfter(250);
constexpr double kColdFactor = 2;  // a cold instance takes twice as long
// The nodes that use an instance hear of a trial when it begins, and other
// nodes only of its outcome. These wait for longer than most trials and their
// reports take, or the many nodes of a large fleet would repeat trials that are
// under way.
constexpr millis kOtherNodesTrialDelay(1'000);
// A retryable request tries a suspect as soon as its hold ends, since it can be
// retried elsewhere after a failure. A service without such requests uses its
// least urgent requests a little later, and then any request.
constexpr millis kLeastUrgentTrialDelay(400);
constexpr millis kAnyTrialDelay(800);
// A failed trial shows that the instance is gray, and it stays so for several
// seconds. Each further trial that cannot be retried costs its caller the
// answer.
constexpr millis kDelayAfterFailedTrial(2'200);
// If at least this share of a service's requests can be retried, the others
// leave the trials to them: about half of the trials in the first seconds after
// a failure fail.
constexpr double kRetryableShareForTrials = 0.05;
constexpr double kRetryableSampleWeight = 1.0 / 20;
constexpr millis kDelayForRetryable(1'500);
// Work times vary widely: if the expected time were equal to the objective,
// nearly half of the answers would be late.
constexpr double kObjectiveShare = 0.8;
// After this many denials in a row, a less urgent request may use the capacity
// that is reserved for urgent ones. Otherwise a service that is overloaded for
// long would starve the less urgent requests.
constexpr int kMaxReserveDenials = 2;
// An instance without a request for this long may be new or recovered.
constexpr millis kUnusedTime(1'000);
constexpr millis kNoInstanceRetryAfter(800);  // entries renew every 1.5 s

}  // namespace

double instance_selector::LoadOf(const tracked_instance& instance,
                                 millis now) const {
  const double cold = now < instance.cold_until ? 1 : 0;
  return (instance.InFlight() + cold) / std::max(1, instance.entry.slots);
}

// An instance serves requests in order, so requests beyond its slots queue.
double instance_selector::WorkRounds(const tracked_instance& instance) {
  const int slots = std::max(1, instance.entry.slots);
  const int ahead = std::max(0, instance.InFlight() + 1 - slots);
  return 1 + static_cast<double>(ahead) / slots;
}

double instance_selector::ExpectedMs(const tracked_instance& instance,
                                     const latency_limits& limits, millis now) {
  const double wait = limits.mean_work_in_slot * (WorkRounds(instance) - 1);
  const double expected = limits.mean_work + wait;
  return now < instance.cold_until ? expected * kColdFactor : expected;
}

bool instance_selector::IsSelectable(const tracked_instance& instance,
                                     const choice_request& request,
                                     millis now) const {
  return now >= instance.unreachable_until &&
         instance.own_in_flight < notices_.MaxInFlight(instance.key, now) &&
         std::find(request.tried.begin(), request.tried.end(), instance.key) ==
             request.tried.end();
}

bool instance_selector::HasRetryableTraffic(const service_stats& stats) {
  return stats.retryable_share >= kRetryableShareForTrials;
}

// A request that has failed once is not used for a trial, since two gray
// instances would use up its attempts. A suspect gets one trial at a time: the
// report of a trial reaches the peers in the zone before most of their own
// requests arrive.
bool instance_selector::IsDueForTrial(const tracked_instance& instance,
                                      const choice_request& request,
                                      const service_stats& stats,
                                      millis now) const {
  if (instance.InFlight() > 0 || !request.is_first_attempt) {
    return false;
  }
  const millis start = instance.is_home ? millis(0) : kOtherNodesTrialDelay;
  millis overdue = instance.health.TrialOverdue(now) - start;
  if (request.is_retryable) {
    return overdue >= millis(0);
  }
  if (instance.health.has_failed_trial()) {
    overdue = overdue - kDelayAfterFailedTrial;
  }
  if (HasRetryableTraffic(stats)) {
    overdue = overdue - kDelayForRetryable;
  }
  return overdue >= kAnyTrialDelay || (request.priority >= stats.least_urgent &&
                                       overdue >= kLeastUrgentTrialDelay);
}

// An instance with a free slot answers as soon as an idle one, so those with
// room in the node's zone go first: traffic between zones is paid for. Among
// them, some rank as if they had a request fewer: those that this node shares
// with few others, as it knows their load best; those to which it has an idle
// connection, as new ones are paid for; and those that no node has used lately,
// or nodes would stay with those that they are connected to. Such an instance
// may have turned gray unnoticed, so where some requests can be retried, only
// these find that out. One request is little enough that no instance is filled
// while others are idle: some slow down when they are nearly full. Ties are
// broken at random, since nodes that see the same load would otherwise choose
// the same instance.
instance_selector::tracked_instance* instance_selector::LeastLoaded(
    const std::vector<tracked_instance*>& instances,
    const choice_request& request, const latency_limits& limits,
    const service_stats& stats, millis now) {
  const bool explores = request.is_retryable || !HasRetryableTraffic(stats);
  tracked_instance* best = nullptr;
  std::tuple<bool, double, bool, bool, uint64_t> best_rank;
  for (tracked_instance* instance : instances) {
    const double load = LoadOf(*instance, now);
    const bool is_other_zone = instance->entry.zone != zone_;
    const bool stays = StaysInZone(
        ExpectedMs(*instance, limits, now),
        static_cast<double>(request.objective.count()), request.admission);
    const bool is_preferred =
        instance->HasConnection(request.max_idle_time, now) ||
        (explores && now - instance->used_at > kUnusedTime);
    const int bonus = (is_preferred ? 1 : 0) + (instance->is_home ? 1 : 0);
    const std::tuple rank(
        is_other_zone || (load >= 1 && !stays),
        load - static_cast<double>(bonus) / std::max(1, instance->entry.slots),
        !is_preferred, is_other_zone, random_());
    if (best == nullptr || rank < best_rank) {
      best = instance;
      best_rank = rank;
    }
  }
  return best;
}

instance_choice instance_selector::MakeChoice(const tracked_instance& instance,
                                              choice_basis basis,
                                              const latency_limits& limits,
                                              millis now) const {
  instance_choice choice;
  choice.basis = basis;
  choice.instance = instance.entry;
  choice.key = instance.key;
  choice.in_flight = instance.InFlight();
  choice.work_rounds = WorkRounds(instance);
  const double expected = ExpectedMs(instance, limits, now);
  choice.expected = millis(static_cast<int64_t>(expected));
  const double slow_ms =
      std::clamp(kSlowTimeShare * limits.time_left, kMinSlowFactor * expected,
                 kSlowFactor * expected);
  choice.slow_after =
      std::max(kMinSlowAfter, millis(static_cast<int64_t>(slow_ms)));
  return choice;
}

instance_selector::latency_limits instance_selector::LimitsFor(
    const service_stats& stats, const choice_request& request) {
  latency_limits limits;
  limits.mean_work = stats.work.MeanOf(request.route);
  limits.mean_work_in_slot = stats.work.MeanInSlot();
  limits.time_left = static_cast<double>(request.time_left.count());
  const double available =
      std::min(limits.time_left, stats.work.MeanObjective() * kObjectiveShare);
  admission_request ordered;
  ordered.priority = request.priority;
  ordered.work_ms = limits.mean_work;
  ordered.mean_work_ms = limits.mean_work_in_slot;
  ordered.objective_ms = static_cast<double>(request.objective.count());
  ordered.is_least_urgent = request.priority >= stats.least_urgent;
  const admission_limit limit = LimitOf(ordered, request.admission);
  limits.in_time = available * limit.time_share;
  if (limit.objective_ms > 0) {
    limits.in_time = std::min(limits.in_time, limit.objective_ms);
  }
  limits.in_time_most_urgent =
      available * LimitOf({}, admission_mode::kPriority).time_share;
  return limits;
}

// While more trials are due than requests come, each suspect has its turn.
instance_selector::tracked_instance* instance_selector::LongerDue(
    tracked_instance* one, tracked_instance* other, millis now) {
  return one != nullptr && one->health.TrialOverdue(now) >=
                               other->health.TrialOverdue(now)
             ? one
             : other;
}

instance_selector::candidates instance_selector::FindCandidates(
    const std::vector<tracked_instance*>& members,
    const choice_request& request, const latency_limits& limits,
    const service_stats& stats, millis now) const {
  candidates options;
  for (tracked_instance* instance : members) {
    if (!IsSelectable(*instance, request, now)) {
      continue;
    }
    if (instance->health.suspect()) {
      if (IsDueForTrial(*instance, request, stats, now)) {
        options.trial = LongerDue(options.trial, instance, now);
      } else if (instance->HasRoom()) {
        const bool sheds = instance->health.cause() == attempt_outcome::kShed;
        const bool is_gray = instance->health.has_failed_trial();
        (sheds     ? options.shedding
         : is_gray ? options.gray
                   : options.other_suspects)
            .push_back(instance);
      }
      continue;
    }
    const double expected = ExpectedMs(*instance, limits, now);
    options.shortest_ms = options.shortest_ms == 0
                              ? expected
                              : std::min(options.shortest_ms, expected);
    if (instance->HasRoom() || expected <= limits.in_time) {
      options.in_time.push_back(instance);
    } else if (!request.is_first_attempt && expected <= limits.time_left) {
      options.late.push_back(instance);
    } else if (expected <= limits.in_time_most_urgent) {
      options.reserved.push_back(instance);
    }
  }
  return options;
}

// A request that an instance sheds has not run and can go elsewhere, so
// suspects that shed go before suspects that fail. A caller that has already
// waited for a failed attempt is served late rather than not at all, and late
// instances go before failing ones, since two gray instances would use up its
// attempts. An instance that has failed a trial fails most requests: one that
// cannot be retried is refused rather than lost there.
instance_choice instance_selector::Choose(const choice_request& request,
                                          millis now) {
  const auto found = by_service_.find(request.service);
  instance_choice none;
  none.retry_after =
      DelayWithoutInstance(kNoInstanceRetryAfter, request.time_left);
  if (found == by_service_.end()) {
    return none;
  }
  service_stats& stats = stats_[found->first];
  stats.least_urgent = std::max(stats.least_urgent, request.priority);
  stats.work.NoteRequest(request.route, request.objective);
  stats.retryable_share +=
      kRetryableSampleWeight *
      ((request.is_retryable ? 1 : 0) - stats.retryable_share);
  const latency_limits limits = LimitsFor(stats, request);
  const candidates options =
      FindCandidates(found->second, request, limits, stats, now);
  if (options.trial != nullptr) {
    return MakeChoice(*options.trial, choice_basis::kTrial, limits, now);
  }
  if (tracked_instance* best =
          LeastLoaded(options.in_time, request, limits, stats, now)) {
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (!options.reserved.empty() &&
      ++stats.reserve_denials > kMaxReserveDenials) {
    stats.reserve_denials = 0;
    tracked_instance* best =
        LeastLoaded(options.reserved, request, limits, stats, now);
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (tracked_instance* best =
          LeastLoaded(options.shedding, request, limits, stats, now)) {
    return MakeChoice(*best, choice_basis::kLastResort, limits, now);
  }
  if (tracked_instance* best =
          LeastLoaded(options.late, request, limits, stats, now)) {
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (tracked_instance* best =
          LeastLoaded(options.other_suspects, request, limits, stats, now)) {
    return MakeChoice(*best, choice_basis::kLastResort, limits, now);
  }
  tracked_instance* gray =
      LeastLoaded(options.gray, request, limits, stats, now);
  if (gray != nullptr && request.is_retryable) {
    return MakeChoice(*gray, choice_basis::kLastResort, limits, now);
  }
  if (AllLeave(found->second)) {
    return none;
  }
  none.basis = choice_basis::kOverload;
  const double until_capacity =
      options.shortest_ms - limits.in_time_most_urgent;
  none.retry_after =
      millis(static_cast<int64_t>(std::max(limits.mean_work, until_capacity)));
  return none;
}

}  // namespace peridotarch
