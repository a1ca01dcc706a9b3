#include "balance/instance_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotarch {

namespace {

constexpr millis kPeerSilence(2'500);  // two missed reports a second apart
constexpr double kFirstMeanMs = 200;   // until answers have been seen
constexpr double kMeanWeight = 0.05;   // of the newest answer
constexpr double kMeanMostFactor = 5;  // an outlier counts as this many means
// Work times spread widely; one healthy request in a hundred takes longer.
constexpr double kSlowFactor = 4;
constexpr millis kLeastSlow(250);
constexpr double kColdFactor = 2;  // a cold instance takes twice as long
// Nodes of the instance's own zone hear of a trial at once, others only with
// the next report to their zone: they leave the first go to those.
constexpr millis kOtherZoneTrial(300);
// Idempotent requests are tried on a suspect as soon as its hold ends, since a
// failure can be repeated elsewhere. A service that has none uses its least
// urgent requests, then any.
constexpr millis kLeastUrgentTrial(400);
constexpr millis kAnyTrial(800);
// Part of the time left that the expected answer may take, by priority: the
// least urgent requests are refused first. Longer queues do not raise what a
// service that is short of room serves; they only make all of it late.
constexpr double kTimeShare = 0.9;
constexpr double kShareStep = 0.1;
// Work times spread widely: with a mean at the objective, nearly half is late.
constexpr double kObjectiveShare = 0.8;
constexpr int kShareSteps = 3;
// Every third of those takes the most urgent ones' part, or a service that is
// short of room for long would starve them.
constexpr int kPassedOver = 2;
constexpr millis kUnreachableHold(500);
constexpr int kUnreachableSteps = 3;  // doubled this often
// An address that another instance has taken stays taken; the entry goes soon.
constexpr millis kMovedHold(5'000);
constexpr size_t kMaxRecent = 8;
constexpr millis kRepeatOutcomes(500);  // two reports to other zones
constexpr int kMaxReported = 255;

void AddToMean(double& mean, double seen) {
  mean += kMeanWeight * (seen - mean);
}

}  // namespace

// One limit for all routes of a service: the most urgent may have the shortest
// objective, and must not be refused before the others.
void instance_selector::service_measure::NoteObjective(millis objective) {
  const auto wanted = static_cast<double>(objective.count());
  if (objective_ms == 0) {
    objective_ms = wanted;
  } else {
    AddToMean(objective_ms, wanted);
  }
}

void instance_selector::SetInstances(std::span<const instance_entry> entries,
                                     millis now) {
  for (auto& [key, one] : instances_) {
    one.listed = false;
  }
  by_service_.clear();
  listed_ = entries.size();
  for (const instance_entry& entry : entries) {
    const instance_key key = KeyOf(entry.id);
    tracked& one = instances_[key];
    if (one.key == 0 || one.entry.started_at != entry.started_at) {
      one.health = {};
      one.unreachable_until = {};
      one.warm_at = now + entry.warmup_left;
    }
    one.warm_at = std::min(one.warm_at, now + entry.warmup_left);
    one.key = key;
    one.entry = entry;
    one.listed = true;
  }
  std::erase_if(instances_, [](const auto& item) {
    return !item.second.listed && item.second.own == 0;
  });
  for (auto& [key, one] : instances_) {
    if (one.listed && !one.entry.draining) {
      by_service_[one.entry.service].push_back(&one);
    }
  }
}

double instance_selector::Load(const tracked& one, millis now) const {
  const double cold = now < one.warm_at ? 1 : 0;
  return (one.InFlight() + cold) / std::max(1, one.entry.slots);
}

// Instances serve in order, so all that exceeds the slots is waited for.
double instance_selector::Rounds(const tracked& one) {
  const int slots = std::max(1, one.entry.slots);
  const int ahead = std::max(0, one.InFlight() + 1 - slots);
  return 1 + static_cast<double>(ahead) / slots;
}

double instance_selector::ExpectedMs(const tracked& one, double mean,
                                     millis now) {
  const double work = now < one.warm_at ? mean * kColdFactor : mean;
  return work * Rounds(one);
}

bool instance_selector::IsOpen(const tracked& one, const choice_request& call,
                               millis now) const {
  return now >= one.unreachable_until &&
         std::find(call.tried.begin(), call.tried.end(), one.key) ==
             call.tried.end();
}

// A request that has failed once is not tried on a suspect again: two gray
// instances would use up its attempts. One trial at a time: reports of the
// first reach the peers of the zone before most of their own requests arrive.
bool instance_selector::MayTry(const tracked& one, const choice_request& call,
                               int least_urgent, millis now) const {
  if (one.InFlight() > 0 || !call.first) {
    return false;
  }
  const millis start = one.entry.zone == zone_ ? millis(0) : kOtherZoneTrial;
  const millis overdue = one.health.TrialOverdue(now) - start;
  if (call.is_retryable) {
    return overdue >= millis(0);
  }
  return overdue >= kAnyTrial ||
         (call.priority >= least_urgent && overdue >= kLeastUrgentTrial);
}

// Below its slots an instance answers as soon as an empty one, so whatever has
// room in the own zone goes first: bytes between zones are paid for. Equal ones
// are drawn at random, since all nodes see the same board and would otherwise
// pick the same instance.
instance_selector::tracked* instance_selector::BestOf(
    const std::vector<tracked*>& from, millis now) {
  tracked* best = nullptr;
  std::tuple<bool, double, bool, uint64_t> best_rank;
  for (tracked* one : from) {
    const double load = Load(*one, now);
    const bool far = one->entry.zone != zone_;
    const std::tuple rank(far || load >= 1, load, far, random_());
    if (best == nullptr || rank < best_rank) {
      best = one;
      best_rank = rank;
    }
  }
  return best;
}

instance_choice instance_selector::Chosen(const tracked& one,
                                          choice_basis basis, double mean,
                                          millis now) const {
  instance_choice choice;
  choice.basis = basis;
  choice.instance = one.entry;
  choice.key = one.key;
  choice.in_flight = one.InFlight();
  choice.work_rounds = Rounds(one);
  const double expected = ExpectedMs(one, mean, now);
  choice.expected = millis(static_cast<int64_t>(expected));
  choice.slow_after = std::max(
      kLeastSlow, millis(static_cast<int64_t>(kSlowFactor * expected)));
  return choice;
}

instance_selector::call_limits instance_selector::LimitsOf(
    const service_measure& measure, const choice_request& call) {
  call_limits limits;
  limits.mean = measure.mean_ms > 0 ? measure.mean_ms : kFirstMeanMs;
  limits.possible = static_cast<double>(call.time_left.count());
  const double soon =
      std::min(limits.possible, measure.objective_ms * kObjectiveShare);
  const int steps = std::min(call.priority, kShareSteps);
  limits.in_time = soon * (kTimeShare - kShareStep * steps);
  limits.most_urgent = soon * kTimeShare;
  return limits;
}

instance_selector::candidates instance_selector::Sort(
    const std::vector<tracked*>& members, const choice_request& call,
    const call_limits& limits, int least_urgent, millis now) const {
  candidates sorted;
  for (tracked* one : members) {
    if (!IsOpen(*one, call, now)) {
      continue;
    }
    if (one->health.suspect()) {
      if (MayTry(*one, call, least_urgent, now)) {
        sorted.trial = one;
        return sorted;
      }
      if (one->HasRoom()) {
        const bool shed = one->health.cause() == attempt_outcome::kShed;
        (shed ? sorted.shedding : sorted.doubtful).push_back(one);
      }
      continue;
    }
    const double expected = ExpectedMs(*one, limits.mean, now);
    sorted.shortest =
        sorted.shortest == 0 ? expected : std::min(sorted.shortest, expected);
    if (one->HasRoom() || expected <= limits.in_time) {
      sorted.good.push_back(one);
    } else if (!call.first && expected <= limits.possible) {
      sorted.late.push_back(one);
    } else if (expected <= limits.most_urgent) {
      sorted.urgent_only.push_back(one);
    }
  }
  return sorted;
}

// What an instance sheds has not run and goes elsewhere, so those that shed go
// before those that fail. A caller that has waited for an attempt already is
// served late rather than not at all; two gray instances would use up its
// attempts.
instance_choice instance_selector::Choose(const choice_request& call,
                                          millis now) {
  const auto found = by_service_.find(call.service);
  instance_choice none;
  if (found == by_service_.end()) {
    return none;
  }
  service_measure& measure = measures_[found->first];
  measure.least_urgent = std::max(measure.least_urgent, call.priority);
  measure.NoteObjective(call.objective);
  const call_limits limits = LimitsOf(measure, call);
  const candidates sorted =
      Sort(found->second, call, limits, measure.least_urgent, now);
  if (sorted.trial != nullptr) {
    return Chosen(*sorted.trial, choice_basis::kTrial, limits.mean, now);
  }
  if (tracked* best = BestOf(sorted.good, now)) {
    return Chosen(*best, choice_basis::kRegular, limits.mean, now);
  }
  if (!sorted.urgent_only.empty() && ++measure.passed_over > kPassedOver) {
    measure.passed_over = 0;
    tracked* best = BestOf(sorted.urgent_only, now);
    return Chosen(*best, choice_basis::kRegular, limits.mean, now);
  }
  if (tracked* best = BestOf(sorted.shedding, now)) {
    return Chosen(*best, choice_basis::kLastResort, limits.mean, now);
  }
  if (tracked* best = BestOf(sorted.late, now)) {
    return Chosen(*best, choice_basis::kRegular, limits.mean, now);
  }
  if (tracked* best = BestOf(sorted.doubtful, now)) {
    return Chosen(*best, choice_basis::kLastResort, limits.mean, now);
  }
  none.basis = choice_basis::kOverload;
  const double until_room = sorted.shortest - limits.most_urgent;
  none.retry_after =
      millis(static_cast<int64_t>(std::max(limits.mean, until_room)));
  return none;
}

void instance_selector::Begin(instance_key instance) {
  const auto found = instances_.find(instance);
  if (found != instances_.end()) {
    ++found->second.own;
    ++in_flight_;
  }
}

void instance_selector::End(instance_key instance, attempt_outcome outcome,
                            millis work, millis now) {
  const auto found = instances_.find(instance);
  if (found == instances_.end()) {
    return;
  }
  tracked& one = found->second;
  --one.own;
  --in_flight_;
  if (outcome == attempt_outcome::kUnreachable) {
    const int times = std::min(one.unreachable_times++, kUnreachableSteps);
    one.unreachable_until = now + kUnreachableHold * (1 << times);
  } else if (outcome == attempt_outcome::kOk) {
    one.unreachable_times = 0;
  }
  // A good answer of an instance that is not in doubt changes nothing.
  if (outcome != attempt_outcome::kOk || one.health.suspect()) {
    Record(instance, outcome, work, now);
  }
  Learn(one, outcome, work, "", now);
}

void instance_selector::NoteEarlyOutcome(instance_key instance,
                                         attempt_outcome outcome, millis now) {
  const auto found = instances_.find(instance);
  if (found != instances_.end()) {
    Record(instance, outcome, millis(0), now);
    Learn(found->second, outcome, millis(0), "", now);
  }
}

void instance_selector::Record(instance_key instance, attempt_outcome outcome,
                               millis work, millis now) {
  if (outcome == attempt_outcome::kUnknown) {
    return;
  }
  recent_.push_back({{++next_outcome_, instance, outcome, work}, now});
  while (recent_.size() > kMaxRecent) {
    recent_.pop_front();
  }
}

void instance_selector::Learn(tracked& one, attempt_outcome outcome,
                              millis work, const std::string& told_by,
                              millis now) {
  if (outcome == attempt_outcome::kOk && now >= one.warm_at) {
    double& mean = measures_[one.entry.service].mean_ms;
    const auto seen = static_cast<double>(work.count());
    if (mean == 0) {
      mean = std::max(1.0, seen);
    } else {
      AddToMean(mean, std::min(seen, mean * kMeanMostFactor));
    }
  }
  if (outcome == attempt_outcome::kMoved) {
    one.unreachable_until = now + kMovedHold;
  }
  if (one.health.Note(outcome, now)) {
    changes_.push_back(
        {one.entry.id, one.health.suspect(), one.health.cause(), told_by});
  }
}

void instance_selector::Withdraw(const peer_state& peer) {
  for (const load_entry& entry : peer.load) {
    const auto found = instances_.find(entry.instance);
    if (found != instances_.end()) {
      found->second.others =
          std::max(0, found->second.others - entry.in_flight);
    }
  }
}

void instance_selector::Apply(const std::string& peer,
                              const load_report& report, millis now) {
  peer_state& state = peers_[peer];
  const bool same = report.incarnation == state.incarnation;
  // The number of a start is its wall clock, which may have stepped back
  // since an earlier start that is silent by now.
  const bool older = report.incarnation < state.incarnation &&
                     now - state.heard < kPeerSilence;
  if (older || (same && report.number <= state.number)) {
    return;
  }
  Withdraw(state);
  state.heard = now;
  state.number = report.number;
  state.load = report.load;
  if (!same) {
    state.incarnation = report.incarnation;
    state.outcome = 0;
  }
  for (load_entry& entry : state.load) {
    const auto found = instances_.find(entry.instance);
    if (found == instances_.end()) {
      entry.in_flight = 0;
      continue;
    }
    found->second.others += entry.in_flight;
  }
  for (const outcome_entry& entry : report.outcomes) {
    const auto found = instances_.find(entry.instance);
    if (entry.number > state.outcome) {
      state.outcome = entry.number;
      if (found != instances_.end()) {
        Learn(found->second, entry.outcome, entry.work, peer, now);
      }
    }
  }
}

void instance_selector::ForgetSilentPeers(millis now) {
  for (auto& [name, state] : peers_) {
    if (now - state.heard > kPeerSilence && !state.load.empty()) {
      Withdraw(state);
      state.load.clear();
    }
  }
}

load_report instance_selector::MakeReport(millis now) const {
  load_report report;
  for (const auto& [key, one] : instances_) {
    if (one.own > 0 && report.load.size() < kMaxReported) {
      report.load.push_back(
          {key, static_cast<uint8_t>(std::min(one.own, kMaxReported))});
    }
  }
  for (const recent_outcome& recent : recent_) {
    if (now - recent.at < kRepeatOutcomes) {
      report.outcomes.push_back(recent.entry);
    }
  }
  return report;
}

std::vector<health_change> instance_selector::TakeChanges() {
  return std::exchange(changes_, {});
}

size_t instance_selector::suspects() const {
  return static_cast<size_t>(
      std::count_if(instances_.begin(), instances_.end(), [](const auto& one) {
        return one.second.listed && one.second.health.suspect();
      }));
}

const instance_entry* instance_selector::Find(instance_key instance) const {
  const auto found = instances_.find(instance);
  const bool listed = found != instances_.end() && found->second.listed;
  return listed ? &found->second.entry : nullptr;
}

}  // namespace peridotarch
