#include "detection/outlier_detector.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "core/invariant.h"

namespace peridotarch {

namespace {

/// Thresholds for each ejection_tradeoff. Scores are those of evidence::Score.
struct thresholds {
  double suspect_score;
  double eject_score;
  int good_answers;  ///< Consecutive good answers that end a probation.
};
constexpr std::array<thresholds, 2> kThresholds = {{
    {10.0, 20.0, 20},  // kDetectionTime
    {12.0, 24.0, 10},  // kFalseEjections
}};

/// A suspicion ends when the score falls below this share of the suspect score.
constexpr double kClearedShare = 0.25;
/// A score on probation that ejects the instance again.
constexpr double kReejectScore = 5.0;
constexpr millis kMinSuspectTime(500);         ///< Before a suspicion may end.
constexpr millis kMinSuspectBeforeEject(400);  ///< Before an ejection.
constexpr millis kColdTime(10'000);
/// Time from an ejection to its probation: the shortest and the longest.
constexpr millis kMinHold(5'000);
constexpr millis kMaxHold(300'000);
constexpr int kMaxHoldDoublings = 6;
/// An ejection that is older than this no longer lengthens the hold.
constexpr millis kEjectionMemory(600'000);
constexpr int kRefusalsForAbsence = 2;
constexpr millis kAbsentProbeInterval(500);
constexpr millis kAnsweredProbeValid(1'500);
constexpr millis kOpinionWait(600);        ///< Time for the peers to reply.
constexpr millis kOpinionInterval(5'000);  ///< Between requests.
constexpr int kMinReachedOpinions = 2;

std::string Holder(const detector_identity& identity) {
  return identity.node + "/" + std::to_string(identity.incarnation) + "/" +
         std::to_string(identity.shard);
}

}  // namespace

outlier_detector::outlier_detector(const detector_identity& identity)
    : identity_(identity), ejector_(identity.service, Holder(identity)) {
  rule_.name = identity.service;
}

void outlier_detector::SetService(const service_rule& rule, int shards) {
  rule_ = rule;
  shards_ = std::max(1, shards);
}

detector_actions outlier_detector::SetInstances(
    std::span<const host> service, std::span<const std::string> own,
    millis now) {
  detector_actions actions;
  std::set<std::string_view> listed;
  own_per_zone_.clear();
  const std::set<std::string_view> shard(own.begin(), own.end());
  for (const host& entry : service) {
    const auto it = instances_.find(entry.id);
    // An outdated list names a process that has been replaced since.
    if (it != instances_.end() &&
        entry.incarnation < it->second.entry.incarnation) {
      listed.insert(entry.id);
      continue;
    }
    if (it == instances_.end() ||
        it->second.entry.incarnation != entry.incarnation) {
      instance fresh;
      fresh.first_seen_at = now;
      fresh.state_changed_at = now;
      fresh.in_first_list = !has_list_;
      fresh.state = has_list_ ? instance_state::kCold : instance_state::kOpen;
      instances_.insert_or_assign(entry.id, std::move(fresh));
    }
    instance& known = instances_.find(entry.id)->second;
    known.entry = entry;
    known.is_own = shard.contains(entry.id);
    listed.insert(entry.id);
    own_per_zone_[entry.zone] += known.is_own ? 1 : 0;
    if (entry.state == host_state::kLeaving) {
      for (detector_action& action :
           OnLeaving(entry.id, entry.incarnation, now)) {
        actions.push_back(std::move(action));
      }
    }
  }
  std::erase_if(instances_,
                [&](const auto& item) { return !listed.contains(item.first); });
  has_list_ = has_list_ || !service.empty();
  ApplyEjections(now, actions);
  return actions;
}

detector_actions outlier_detector::SetLogAway(bool away) {
  detector_actions actions;
  if (away != log_away_) {
    log_away_ = away;
    ejector_.SetLogAway(away);
  }
  return actions;
}

void outlier_detector::OnStart(std::string_view instance, uint64_t attempt,
                               uint32_t route, millis now) {
  if (auto* target = FindOwn(instance)) {
    target->facts.OnStart(attempt, route, now);
  }
}

detector_actions outlier_detector::OnOutcome(std::string_view instance,
                                             uint64_t attempt,
                                             const outcome& ended, millis now) {
  detector_actions actions;
  auto* target = FindOwn(instance);
  if (target == nullptr) {
    return actions;
  }
  target->facts.OnOutcome(attempt, ended, BaselineFor(*target, ended.route),
                          now);
  UpdateBaselines(*target, ended, now);
  if (ended.kind == outcome_kind::kOk) {
    target->is_warm = true;
    target->is_absent = false;
    target->is_unreachable_here = false;
  }
  Assess(*target, now, actions);
  return actions;
}

detector_actions outlier_detector::OnProbe(std::string_view instance,
                                           bool answered, millis now) {
  detector_actions actions;
  auto* target = FindOwn(instance);
  if (target == nullptr) {
    return actions;
  }
  target->facts.OnProbe(answered, now);
  (answered ? target->last_probe_answered_at : target->last_probe_failed_at) =
      now;
  if (answered) {
    target->is_absent = false;
  }
  Assess(*target, now, actions);
  return actions;
}

detector_actions outlier_detector::OnLeaving(std::string_view instance,
                                             uint64_t incarnation, millis now) {
  detector_actions actions;
  const std::string id(instance);
  if (!leaving_.Note(id, incarnation, now)) {
    return actions;
  }
  actions.emplace_back(
      leaving_announcement{{identity_.service, id, incarnation}});
  ApplyEjections(now, actions);
  return actions;
}

detector_actions outlier_detector::OnOpinion(const opinion_note& opinion,
                                             millis now) {
  detector_actions actions;
  auto* target = FindOwn(opinion.instance);
  if (target == nullptr || opinion.service != identity_.service ||
      opinion.incarnation != target->entry.incarnation) {
    return actions;
  }
  ++(opinion.reached ? target->reached : target->unreached);
  Assess(*target, now, actions);
  return actions;
}

apply_result outlier_detector::OnEjectionRecord(std::string_view bytes,
                                                millis appended_at) {
  return ejector_.OnEjectionRecord(bytes, appended_at);
}

detector_actions outlier_detector::Tick(millis now, millis wall) {
  detector_actions actions;
  wall_offset_ = wall - now;
  leaving_.Forget(now);
  for (auto& [id, target] : instances_) {
    if (now - target.first_seen_at >= kColdTime) {
      target.is_warm = true;
    }
    if (target.is_own) {
      target.facts.OnAge(
          [this,
           &in_flight_at = target](uint32_t route) -> const peer_baseline& {
            return BaselineFor(in_flight_at, route);
          },
          now);
      target.facts.Decay(now);
    }
  }
  FindCommonCauses(now);
  FindSlowZones();
  UpdateSelfDoubt(actions);
  for (auto& [id, target] : instances_) {
    if (target.is_own) {
      Assess(target, now, actions);
    }
  }
  ApplyEjections(now, actions);
  return actions;
}

detector_actions outlier_detector::Resign(millis wall) {
  detector_actions actions;
  if (auto bytes = ejector_.Resign(wall)) {
    actions.emplace_back(ledger_append{*std::move(bytes)});
  }
  return actions;
}

instance_state outlier_detector::StateOf(std::string_view instance) const {
  const auto it = instances_.find(instance);
  return it == instances_.end() ? instance_state::kLeaving : it->second.state;
}

std::vector<state_change> outlier_detector::States() const {
  std::vector<state_change> states;
  for (const auto& [id, target] : instances_) {
    if (target.is_own) {
      states.push_back(
          {id, target.entry.incarnation, target.state, target.reason});
    }
  }
  return states;
}

int outlier_detector::CapacitySlots() const {
  return static_cast<int>(KnownCapacity().capacity_instances.size()) *
         rule_.slots_per_instance;
}

int outlier_detector::HealthySlots() const {
  const auto healthy = std::count_if(
      instances_.begin(), instances_.end(), [&](const auto& item) {
        return IsCapacity(item.second) && !item.second.is_ejected;
      });
  return static_cast<int>(healthy) * rule_.slots_per_instance;
}

outlier_detector::instance* outlier_detector::FindOwn(std::string_view id) {
  const auto it = instances_.find(id);
  return it != instances_.end() && it->second.is_own ? &it->second : nullptr;
}

// An instance is open, becomes suspect on some evidence and sick on strong
// evidence. A sick instance is proposed for ejection; after its hold it is on
// probation.
void outlier_detector::Assess(instance& target, millis now,
                              detector_actions& actions) {
  UpdateAbsence(target, now, actions);
  const double score = target.facts.Score();
  if (target.is_sick) {
    AssessProbation(target, now);
  } else if (score >= EjectScore()) {
    FindCommonCauses(now);
    if (MayEject(target, now)) {
      MarkSick(target, now);
      ApplyEjections(now, actions);
    }
  }
  if (score >= SuspectScore() && IsMostlyUnanswered(target)) {
    RequestOpinions(target, now, actions);
  }
  UpdateState(target, now, actions);
}

void outlier_detector::AssessProbation(instance& target, millis now) {
  if (!target.is_on_probation) {
    if (now >= target.held_until) {
      target.is_on_probation = true;
      target.facts.Reset();
    }
    return;
  }
  if (target.facts.Score() >= kReejectScore) {
    MarkSick(target, now);
    return;
  }
  const auto weight = static_cast<size_t>(rule_.weigh);
  if (target.facts.good_in_a_row() >= kThresholds[weight].good_answers &&
      target.facts.Score() < kReejectScore / 2) {
    ClearSick(target);
  }
}

void outlier_detector::MarkSick(instance& target, millis now) {
  if (now - target.last_ejected_at > kEjectionMemory) {
    target.recent_ejections = 0;
  }
  const int doublings = std::min(target.recent_ejections, kMaxHoldDoublings);
  const millis hold = std::min(kMinHold * (1 << doublings), kMaxHold);
  ++target.recent_ejections;
  target.last_ejected_at = now;
  target.is_sick = true;
  target.is_on_probation = false;
  target.held_until = now + hold;
  target.sick_since = now + wall_offset_;
}

void outlier_detector::ClearSick(instance& target) {
  target.is_sick = false;
  target.is_on_probation = false;
  target.facts.Reset();
}

// An instance that refuses connections runs nothing, so it is not capacity.
// Leaving it out needs neither a lease nor capacity above the floor.
void outlier_detector::UpdateAbsence(instance& target, millis now,
                                     detector_actions& actions) {
  const bool refused =
      target.facts.refused_in_a_row() >= kRefusalsForAbsence &&
      target.last_probe_answered_at + kAnsweredProbeValid < now;
  target.is_absent = target.is_absent || refused;
  if (target.is_absent &&
      now - target.opinions_asked_at > kAbsentProbeInterval) {
    target.opinions_asked_at = now;
    actions.emplace_back(probe_request{target.entry.id});
  }
}

// An instance that does not answer may be healthy behind a broken network path.
// Only other nodes can tell the difference.
void outlier_detector::RequestOpinions(instance& target, millis now,
                                       detector_actions& actions) {
  if (target.is_absent || (target.opinions_asked_at != millis() &&
                           now - target.opinions_asked_at < kOpinionInterval)) {
    return;
  }
  target.opinions_asked_at = now;
  target.reached = 0;
  target.unreached = 0;
  opinion_note about;
  about.service = identity_.service;
  about.instance = target.entry.id;
  about.incarnation = target.entry.incarnation;
  about.address = target.entry.address;
  about.port = target.entry.port;
  actions.emplace_back(opinion_request{std::move(about)});
  actions.emplace_back(probe_request{target.entry.id});
}

bool outlier_detector::MayEject(const instance& target, millis now) const {
  const bool suspect = target.state == instance_state::kSuspect &&
                       now - target.state_changed_at >= kMinSuspectBeforeEject;
  if (!suspect || doubts_itself_ || node_doubts_itself_ || target.is_absent ||
      HasCommonCause(target, now)) {
    return false;
  }
  if (!IsMostlyUnanswered(target)) {
    return true;
  }
  // Without any answer the path may be at fault: wait for the peers' opinions.
  // If peers reach the instance but this node's own probe fails, the path is at
  // fault and the instance is not ejected.
  if (target.opinions_asked_at == millis() ||
      now - target.opinions_asked_at < kOpinionWait) {
    return false;
  }
  const bool probe_fails =
      target.last_probe_failed_at > target.last_probe_answered_at;
  return !(probe_fails && target.reached >= kMinReachedOpinions);
}

bool outlier_detector::IsMostlyUnanswered(const instance& target) const {
  return target.facts.unanswered_share() > target.facts.failure_share() / 2 &&
         target.facts.failure_share() > 0;
}

// Passes the wanted ejections to the ejector, worst first, and ejects what it
// grants. A departure calls this at once, because it shrinks the capacity and
// ejected instances may have to return to service.
void outlier_detector::ApplyEjections(millis now, detector_actions& actions) {
  std::vector<const instance*> sick_instances;
  for (const auto& [id, target] : instances_) {
    if (target.is_own && target.is_sick && !target.is_absent &&
        target.state != instance_state::kLeaving) {
      sick_instances.push_back(&target);
    }
  }
  std::stable_sort(sick_instances.begin(), sick_instances.end(),
                   [](auto left, auto right) {
                     if (left->is_on_probation != right->is_on_probation) {
                       return right->is_on_probation;
                     }
                     return left->facts.Score() > right->facts.Score();
                   });
  std::vector<wanted_ejection> wanted;
  wanted.reserve(sick_instances.size());
  for (const instance* target : sick_instances) {
    wanted.push_back({target->entry.id, target->entry.incarnation,
                      target->sick_since, target->facts.Describe()});
  }
  ejector_.SetWanted(std::move(wanted), KnownCapacity());
  // Before the first tick the wall clock is unknown and no lease is in force.
  const bool has_wall_clock = wall_offset_ != millis();
  const millis wall = now + wall_offset_;
  if (auto bytes = has_wall_clock ? ejector_.Propose(wall) : std::nullopt) {
    actions.emplace_back(ledger_append{*std::move(bytes)});
  }
  const std::set<std::string> granted = has_wall_clock
                                            ? ejector_.GrantedInstances(wall)
                                            : std::set<std::string>();
  int kept_out = 0;
  for (auto& [id, target] : instances_) {
    target.is_ejected = target.is_own && granted.contains(id);
    kept_out +=
        target.is_ejected && IsCapacity(target) ? rule_.slots_per_instance : 0;
    UpdateState(target, now, actions);
  }
  Check(kept_out == 0 || CapacitySlots() - kept_out >= rule_.floor,
        invariant::kFloor);
  const bool reached = ejector_.HeldBackByFloor() > 0;
  if (reached && !is_floor_reached_) {
    actions.emplace_back(timeline_entry{
        event_kind::kFloorReached, identity_.service,
        std::to_string(ejector_.HeldBackByFloor()) + " sick instances stay, " +
            std::to_string(CapacitySlots()) + " slots for a floor of " +
            std::to_string(rule_.floor)});
  }
  is_floor_reached_ = reached;
}

void outlier_detector::UpdateState(instance& target, millis now,
                                   detector_actions& actions) {
  const instance_state next = NextState(target);
  if (next == target.state || !target.is_own) {
    target.state = next;
    return;
  }
  if (target.state == instance_state::kSuspect &&
      next == instance_state::kOpen &&
      now - target.state_changed_at < kMinSuspectTime) {
    return;
  }
  const instance_state before = std::exchange(target.state, next);
  target.state_changed_at = now;
  target.reason = DescribeState(target);
  actions.emplace_back(state_change{target.entry.id, target.entry.incarnation,
                                    next, target.reason});
  const std::string subject = identity_.service + "/" + target.entry.id;
  const bool was_out = before == instance_state::kEjected ||
                       before == instance_state::kProbation;
  if (next == instance_state::kSuspect) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceSuspected, subject, target.reason});
  } else if (next == instance_state::kEjected) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceEjected, subject, target.reason});
  } else if (next == instance_state::kLeaving) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceLeaving, subject, target.reason});
  } else if (was_out && next == instance_state::kOpen) {
    actions.emplace_back(timeline_entry{event_kind::kInstanceReinstated,
                                        subject, target.reason});
  }
  if (target.is_unreachable_here) {
    actions.emplace_back(unreachable_here{target.entry.id});
  }
}

instance_state outlier_detector::NextState(const instance& target) const {
  if (leaving_.Contains(target.entry.id, target.entry.incarnation)) {
    return instance_state::kLeaving;
  }
  if (target.is_ejected) {
    return target.is_on_probation ? instance_state::kProbation
                                  : instance_state::kEjected;
  }
  const double score = target.facts.Score();
  const double bound = target.state == instance_state::kSuspect
                           ? SuspectScore() * kClearedShare
                           : SuspectScore();
  if (target.is_sick || target.is_absent || score >= bound ||
      slow_zones_.contains(target.entry.zone)) {
    return instance_state::kSuspect;
  }
  return target.is_warm || target.in_first_list ? instance_state::kOpen
                                                : instance_state::kCold;
}

std::string outlier_detector::DescribeState(const instance& target) const {
  switch (target.state) {
    case instance_state::kLeaving:
      return "the instance or the host list says that it is leaving";
    case instance_state::kCold:
      return "new";
    case instance_state::kOpen:
      return "works like its peers";
    default:
      break;
  }
  std::string text = target.facts.Describe();
  if (target.is_absent) {
    text = "refuses connections";
  } else if (slow_zones_.contains(target.entry.zone)) {
    text += ", its zone is slow";
  } else if (target.reached + target.unreached > 0 &&
             IsMostlyUnanswered(target)) {
    text += ", " + std::to_string(target.reached) + " of " +
            std::to_string(target.reached + target.unreached) +
            " peers reach it";
  }
  if (target.state == instance_state::kSuspect && target.is_sick) {
    text += ", kept by the floor";
  }
  return text;
}

capacity_view outlier_detector::KnownCapacity() const {
  capacity_view view;
  for (const auto& [id, target] : instances_) {
    if (IsCapacity(target)) {
      view.capacity_instances.push_back(id);
    }
  }
  view.floor = rule_.floor;
  view.slots = rule_.slots_per_instance;
  const bool owns =
      std::any_of(instances_.begin(), instances_.end(),
                  [](const auto& item) { return item.second.is_own; });
  view.shards = owns ? shards_ : 0;
  return view;
}

bool outlier_detector::IsCapacity(const instance& target) const {
  return target.is_warm && !target.is_absent &&
         !leaving_.Contains(target.entry.id, target.entry.incarnation);
}

double outlier_detector::SuspectScore() const {
  return kThresholds[static_cast<size_t>(rule_.weigh)].suspect_score;
}

double outlier_detector::EjectScore() const {
  return kThresholds[static_cast<size_t>(rule_.weigh)].eject_score;
}

}  // namespace peridotarch
