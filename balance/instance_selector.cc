#include "balance/instance_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotarch {

namespace {

constexpr millis kPeerTimeout(2'500);   // two missed reports a second apart
// Work times vary widely: one healthy request in a hundred takes longer.
constexpr double kSlowFactor = 4;
// If the time left is shorter, an attempt counts as slow near its end.
constexpr double kMinSlowFactor = 2;
constexpr double kSlowTimeShare = 0.9;
constexpr millis kMinSlowAfter(250);
constexpr double kColdFactor = 2;  // a cold instance takes twice as long
// The nodes that use an instance hear of a trial at once, and other nodes only
// with a later report, so these nodes wait for longer before they start a
// trial.
constexpr millis kOtherNodesTrialDelay(300);
// A retryable request tries a suspect as soon as its hold ends, since it can be
// retried elsewhere after a failure. A service without such requests uses its
// least urgent requests a little later, and then any request.
constexpr millis kLeastUrgentTrialDelay(400);
constexpr millis kAnyTrialDelay(800);
// A failed trial shows that the instance is gray, and it stays so for several
// seconds. Each further trial that cannot be retried costs its caller the
// answer.
constexpr millis kDelayAfterFailedTrial(2'200);
// Share of the available time that the expected answer may take. It shrinks
// with each step of priority, so that the least urgent requests are refused
// first. Longer queues do not raise the throughput of an overloaded service;
// they only make all its answers late.
constexpr double kTimeShare = 0.9;
constexpr double kPriorityStep = 0.1;
// Work times vary widely: if the expected time were equal to the objective,
// nearly half of the answers would be late.
constexpr double kObjectiveShare = 0.8;
constexpr int kMaxPrioritySteps = 3;
// After this many denials in a row, a less urgent request may use the capacity
// that is reserved for urgent ones. Otherwise a service that is overloaded for
// long would starve the less urgent requests.
constexpr int kMaxReserveDenials = 2;
constexpr millis kUnreachableHold(500);
constexpr int kMaxUnreachableDoublings = 3;
// Another instance keeps the address, and the outdated entry is removed soon.
constexpr millis kMovedHold(5'000);
constexpr size_t kMaxRecentOutcomes = 8;
// An instance without a request for this long may be new or recovered.
constexpr millis kUnusedTime(1'000);
constexpr millis kOutcomeRepeatTime(500);  // two reports to other zones
constexpr int kMaxReported = 255;  // entries and requests; each fits in a byte

}  // namespace

void instance_selector::SetInstances(std::span<const instance_entry> entries,
                                     millis now) {
  for (auto& [key, instance] : instances_) {
    instance.is_listed = false;
  }
  by_service_.clear();
  listed_count_ = entries.size();
  for (const instance_entry& entry : entries) {
    const instance_key key = KeyOf(entry.id);
    tracked_instance& instance = instances_[key];
    if (instance.key == 0 || instance.entry.started_at != entry.started_at) {
      instance.health = {};
      instance.unreachable_until = {};
      instance.cold_until = now + entry.warmup_left;
    }
    instance.cold_until =
        std::min(instance.cold_until, now + entry.warmup_left);
    instance.key = key;
    instance.entry = entry;
    instance.is_listed = true;
  }
  std::erase_if(instances_, [](const auto& item) {
    return !item.second.is_listed && item.second.own_in_flight == 0;
  });
  CountSuspects();
  for (auto& [key, instance] : instances_) {
    if (instance.is_listed && !instance.entry.draining) {
      by_service_[instance.entry.service].push_back(&instance);
    }
  }
  AssignHomes();
}

void instance_selector::SetRingPosition(double position, size_t nodes) {
  if (position != ring_position_ || nodes != zone_nodes_) {
    ring_position_ = position;
    zone_nodes_ = nodes;
    AssignHomes();
  }
}

// Ranks the instances of each service in this zone by their keys. All nodes of
// the zone have the same list, so they agree on the ranks.
void instance_selector::AssignHomes() {
  for (auto& [service, members] : by_service_) {
    std::vector<tracked_instance*> own_zone;
    for (tracked_instance* instance : members) {
      instance->is_home = false;
      if (instance->entry.zone == zone_) {
        own_zone.push_back(instance);
      }
    }
    std::sort(own_zone.begin(), own_zone.end(),
              [](const auto* left, const auto* right) {
                return left->key < right->key;
              });
    for (size_t rank = 0; rank < own_zone.size(); ++rank) {
      tracked_instance& instance = *own_zone[rank];
      instance.home = HomeRangeOf(rank, own_zone.size(), zone_nodes_);
      instance.is_home = instance.home.Contains(ring_position_);
    }
  }
}

std::optional<home_range> instance_selector::HomeOf(instance_key key) const {
  const auto found = instances_.find(key);
  if (found == instances_.end() || !found->second.is_listed ||
      found->second.entry.zone != zone_) {
    return std::nullopt;
  }
  return found->second.home;
}

void instance_selector::CountSuspects() {
  suspect_count_ = static_cast<size_t>(
      std::count_if(instances_.begin(), instances_.end(), [](const auto& item) {
        return item.second.is_listed && item.second.health.suspect();
      }));
}

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
                                     const latency_limits& limits,
                                     millis now) {
  const double wait = limits.mean_work_in_slot * (WorkRounds(instance) - 1);
  const double expected = limits.mean_work + wait;
  return now < instance.cold_until ? expected * kColdFactor : expected;
}

bool instance_selector::IsSelectable(const tracked_instance& instance,
                                     const choice_request& request,
                                     millis now) const {
  return now >= instance.unreachable_until &&
         std::find(request.tried.begin(), request.tried.end(), instance.key) ==
             request.tried.end();
}

// A request that has failed once is not used for a trial, since two gray
// instances would use up its attempts. A suspect gets one trial at a time: the
// report of a trial reaches the peers in the zone before most of their own
// requests arrive.
bool instance_selector::IsDueForTrial(const tracked_instance& instance,
                                      const choice_request& request,
                                      int least_urgent, millis now) const {
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
  return overdue >= kAnyTrialDelay || (request.priority >= least_urgent &&
                                       overdue >= kLeastUrgentTrialDelay);
}

// An instance with a free slot answers as soon as an idle one. So those with
// room that this node shares with few others go first, since it knows their
// load best; then those with room in its zone, since traffic between zones is
// paid for. So are new connections: an instance to which this node has an idle
// one ranks as if it had one request fewer. So does an instance that no node
// has used lately, or nodes would stay with those that they are connected to.
// Ties are broken at random, since nodes that see the same load would otherwise
// choose the same instance.
instance_selector::tracked_instance* instance_selector::LeastLoaded(
    const std::vector<tracked_instance*>& instances,
    const choice_request& request, millis now) {
  tracked_instance* best = nullptr;
  std::tuple<int, double, bool, bool, uint64_t> best_rank;
  for (tracked_instance* instance : instances) {
    const double load = LoadOf(*instance, now);
    const bool is_other_zone = instance->entry.zone != zone_;
    const bool has_room = !is_other_zone && load < 1;
    const int tier = !has_room ? 2 : instance->is_home ? 0 : 1;
    const bool is_preferred =
        instance->HasConnection(request.max_idle_time, now) ||
        now - instance->used_at > kUnusedTime;
    const double bonus =
        is_preferred ? 1.0 / std::max(1, instance->entry.slots) : 0;
    const std::tuple rank(tier, load - bonus, !is_preferred, is_other_zone,
                          random_());
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
  const int steps = std::min(request.priority, kMaxPrioritySteps);
  limits.in_time = available * (kTimeShare - kPriorityStep * steps);
  limits.in_time_most_urgent = available * kTimeShare;
  return limits;
}

instance_selector::candidates instance_selector::FindCandidates(
    const std::vector<tracked_instance*>& members,
    const choice_request& request, const latency_limits& limits,
    int least_urgent, millis now) const {
  candidates options;
  for (tracked_instance* instance : members) {
    if (!IsSelectable(*instance, request, now)) {
      continue;
    }
    if (instance->health.suspect()) {
      if (IsDueForTrial(*instance, request, least_urgent, now)) {
        options.trial = instance;
        return options;
      }
      if (instance->HasRoom()) {
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
  if (found == by_service_.end()) {
    return none;
  }
  service_stats& stats = stats_[found->first];
  stats.least_urgent = std::max(stats.least_urgent, request.priority);
  stats.work.NoteRequest(request.route, request.objective);
  const latency_limits limits = LimitsFor(stats, request);
  const candidates options =
      FindCandidates(found->second, request, limits, stats.least_urgent, now);
  if (options.trial != nullptr) {
    return MakeChoice(*options.trial, choice_basis::kTrial, limits, now);
  }
  if (tracked_instance* best = LeastLoaded(options.in_time, request, now)) {
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (!options.reserved.empty() &&
      ++stats.reserve_denials > kMaxReserveDenials) {
    stats.reserve_denials = 0;
    tracked_instance* best = LeastLoaded(options.reserved, request, now);
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (tracked_instance* best = LeastLoaded(options.shedding, request, now)) {
    return MakeChoice(*best, choice_basis::kLastResort, limits, now);
  }
  if (tracked_instance* best = LeastLoaded(options.late, request, now)) {
    return MakeChoice(*best, choice_basis::kRegular, limits, now);
  }
  if (tracked_instance* best = LeastLoaded(options.other_suspects, request, now)) {
    return MakeChoice(*best, choice_basis::kLastResort, limits, now);
  }
  tracked_instance* gray = LeastLoaded(options.gray, request, now);
  if (gray != nullptr && request.is_retryable) {
    return MakeChoice(*gray, choice_basis::kLastResort, limits, now);
  }
  none.basis = choice_basis::kOverload;
  const double until_capacity =
      options.shortest_ms - limits.in_time_most_urgent;
  none.retry_after =
      millis(static_cast<int64_t>(std::max(limits.mean_work, until_capacity)));
  return none;
}

void instance_selector::Begin(instance_key key) {
  const auto found = instances_.find(key);
  if (found == instances_.end()) {
    return;
  }
  tracked_instance& instance = found->second;
  if (++instance.own_in_flight == 1) {
    busy_.push_back(&instance);
  }
  instance.idle_connections = std::max(0, instance.idle_connections - 1);
  ++in_flight_;
}

void instance_selector::NoteIdleConnections(instance_key key, int count,
                                            millis now) {
  const auto found = instances_.find(key);
  if (found != instances_.end()) {
    found->second.idle_connections = count;
    found->second.idle_since = now;
  }
}

void instance_selector::End(instance_key key, attempt_outcome outcome,
                            millis work, millis now, uint32_t route) {
  const auto found = instances_.find(key);
  if (found == instances_.end()) {
    return;
  }
  tracked_instance& instance = found->second;
  if (--instance.own_in_flight == 0) {
    std::erase(busy_, &instance);
  }
  --in_flight_;
  instance.used_at = now;
  if (outcome == attempt_outcome::kUnreachable) {
    const int doublings =
        std::min(instance.unreachable_count++, kMaxUnreachableDoublings);
    instance.unreachable_until = now + kUnreachableHold * (1 << doublings);
  } else if (outcome == attempt_outcome::kOk) {
    instance.unreachable_count = 0;
  }
  // A good answer of an instance that is not suspect is not worth reporting.
  if (outcome != attempt_outcome::kOk || instance.health.suspect()) {
    AddRecentOutcome(key, outcome, work, now);
  }
  if (outcome == attempt_outcome::kOk && now >= instance.cold_until) {
    stats_[instance.entry.service].work.NoteWork(route, work);
  }
  ApplyOutcome(instance, outcome, "", now);
}

void instance_selector::NoteEarlyOutcome(instance_key key,
                                         attempt_outcome outcome, millis now) {
  const auto found = instances_.find(key);
  if (found != instances_.end()) {
    AddRecentOutcome(key, outcome, millis(0), now);
    ApplyOutcome(found->second, outcome, "", now);
  }
}

void instance_selector::AddRecentOutcome(instance_key key,
                                         attempt_outcome outcome, millis work,
                                         millis now) {
  if (outcome == attempt_outcome::kUnknown) {
    return;
  }
  recent_outcomes_.push_back(
      {{++last_outcome_number_, key, outcome, work}, now});
  while (recent_outcomes_.size() > kMaxRecentOutcomes) {
    recent_outcomes_.pop_front();
  }
}

void instance_selector::ApplyOutcome(tracked_instance& instance,
                                     attempt_outcome outcome,
                                     const std::string& told_by, millis now) {
  if (outcome == attempt_outcome::kMoved) {
    instance.unreachable_until = now + kMovedHold;
  }
  if (instance.health.RecordOutcome(outcome, now)) {
    changes_.push_back({instance.entry.id, instance.health.suspect(),
                        instance.health.cause(), told_by});
    if (instance.is_listed) {
      suspect_count_ += instance.health.suspect() ? 1 : -1;
    }
  }
}

void instance_selector::SubtractLoad(const peer_state& peer) {
  for (const load_entry& entry : peer.load) {
    const auto found = instances_.find(entry.instance);
    if (found != instances_.end()) {
      found->second.peers_in_flight =
          std::max(0, found->second.peers_in_flight - entry.in_flight);
    }
  }
}

void instance_selector::Apply(const std::string& peer,
                              const load_report& report, millis now) {
  peer_state& state = peers_[peer];
  const bool is_same_start = report.incarnation == state.incarnation;
  // An incarnation is the wall clock at the start of the process. The clock may
  // have stepped back, so a lower incarnation is accepted once the peer has
  // been silent for a while.
  const bool is_outdated_start = report.incarnation < state.incarnation &&
                                 now - state.heard_at < kPeerTimeout;
  if (is_outdated_start ||
      (is_same_start && report.number <= state.report_number)) {
    return;
  }
  SubtractLoad(state);
  state.heard_at = now;
  state.report_number = report.number;
  state.load = report.load;
  if (!is_same_start) {
    state.incarnation = report.incarnation;
    state.outcome_number = 0;
  }
  for (load_entry& entry : state.load) {
    const auto found = instances_.find(entry.instance);
    if (found == instances_.end()) {
      entry.in_flight = 0;
      continue;
    }
    found->second.peers_in_flight += entry.in_flight;
    found->second.used_at = now;
  }
  for (const outcome_entry& entry : report.outcomes) {
    const auto found = instances_.find(entry.instance);
    if (entry.number > state.outcome_number) {
      state.outcome_number = entry.number;
      if (found != instances_.end()) {
        ApplyOutcome(found->second, entry.outcome, peer, now);
      }
    }
  }
}

void instance_selector::ForgetSilentPeers(millis now) {
  for (auto& [name, state] : peers_) {
    if (now - state.heard_at > kPeerTimeout && !state.load.empty()) {
      SubtractLoad(state);
      state.load.clear();
    }
  }
}

load_report instance_selector::MakeReport(millis now) const {
  load_report report;
  for (const tracked_instance* instance : busy_) {
    if (report.load.size() < kMaxReported) {
      report.load.push_back(
          {instance->key, static_cast<uint8_t>(std::min(
                              instance->own_in_flight, kMaxReported))});
    }
  }
  for (const recent_outcome& recent : recent_outcomes_) {
    if (now - recent.recorded_at < kOutcomeRepeatTime) {
      report.outcomes.push_back(recent.entry);
    }
  }
  return report;
}

std::vector<health_change> instance_selector::TakeChanges() {
  return std::exchange(changes_, {});
}

const instance_entry* instance_selector::Find(instance_key key) const {
  const auto found = instances_.find(key);
  const bool is_listed = found != instances_.end() && found->second.is_listed;
  return is_listed ? &found->second.entry : nullptr;
}

}  // namespace peridotarch
