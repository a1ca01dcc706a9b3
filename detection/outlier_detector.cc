#include "detection/outlier_detector.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "core/invariant.h"

namespace peridotarch {

namespace {

/// Scores of evidence.h that raise a suspicion and an ejection, for each
/// weight.
struct thresholds {
  double suspect;
  double eject;
  int good;  ///< Good answers that end a probation.
};
constexpr std::array<thresholds, 2> kThresholds = {{
    {10.0, 20.0, 20},  // detection time
    {12.0, 24.0, 10},  // false ejections
}};

constexpr double kClearedShare = 0.25;  ///< Of the suspect score.
constexpr double kProbationScore = 5.0;
constexpr millis kSuspectAtLeast(500);
constexpr millis kSuspectFirst(400);  ///< From suspicion to ejection.
constexpr millis kColdSpan(10'000);
constexpr millis kHoldBase(5'000);
constexpr millis kHoldMost(300'000);
constexpr int kMostDoublings = 6;
constexpr millis kEjectionsKept(600'000);
constexpr int kRefusedForAbsence = 2;
constexpr millis kProbeAgain(500);
constexpr millis kProbeFresh(1'500);
constexpr millis kOpinionWait(600);
constexpr millis kOpinionsKept(5'000);
constexpr int kOpinionsNeeded = 2;

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
  zone_sizes_.clear();
  const std::set<std::string_view> shard(own.begin(), own.end());
  for (const host& entry : service) {
    const auto it = instances_.find(entry.id);
    // A list that has gone back names a process that has been replaced.
    if (it != instances_.end() &&
        entry.incarnation < it->second.entry.incarnation) {
      listed.insert(entry.id);
      continue;
    }
    if (it == instances_.end() ||
        it->second.entry.incarnation != entry.incarnation) {
      instance fresh;
      fresh.first_seen = now;
      fresh.changed = now;
      fresh.known_from_start = !listed_;
      fresh.state = listed_ ? instance_state::kCold : instance_state::kOpen;
      instances_.insert_or_assign(entry.id, std::move(fresh));
    }
    instance& known = instances_.find(entry.id)->second;
    known.entry = entry;
    known.own = shard.contains(entry.id);
    listed.insert(entry.id);
    zone_sizes_[entry.zone] += known.own ? 1 : 0;
    if (entry.state == host_state::kLeaving) {
      for (detector_action& each :
           OnLeaving(entry.id, entry.incarnation, now)) {
        actions.push_back(std::move(each));
      }
    }
  }
  std::erase_if(instances_,
                [&](const auto& each) { return !listed.contains(each.first); });
  listed_ = listed_ || !service.empty();
  ApplyRights(now, actions);
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
  if (auto* judged = Own(instance)) {
    judged->facts.OnStart(attempt, route, now);
  }
}

detector_actions outlier_detector::OnOutcome(std::string_view instance,
                                             uint64_t attempt,
                                             const outcome& ended, millis now) {
  detector_actions actions;
  auto* judged = Own(instance);
  if (judged == nullptr) {
    return actions;
  }
  judged->facts.OnOutcome(attempt, ended, PeersOf(*judged, ended.route), now);
  Learn(*judged, ended, now);
  if (ended.kind == outcome_kind::kOk) {
    judged->warm = true;
    judged->absent = false;
    judged->cut = false;
  }
  Judge(*judged, now, actions);
  return actions;
}

detector_actions outlier_detector::OnProbe(std::string_view instance,
                                           bool answered, millis now) {
  detector_actions actions;
  auto* judged = Own(instance);
  if (judged == nullptr) {
    return actions;
  }
  judged->facts.OnProbe(answered, now);
  (answered ? judged->last_probe_answered : judged->last_probe_failed) = now;
  if (answered) {
    judged->absent = false;
  }
  Judge(*judged, now, actions);
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
  ApplyRights(now, actions);
  return actions;
}

detector_actions outlier_detector::OnOpinion(const opinion_note& opinion,
                                             millis now) {
  detector_actions actions;
  auto* judged = Own(opinion.instance);
  if (judged == nullptr || opinion.service != identity_.service ||
      opinion.incarnation != judged->entry.incarnation) {
    return actions;
  }
  ++(opinion.reached ? judged->reached : judged->unreached);
  Judge(*judged, now, actions);
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
  for (auto& [id, each] : instances_) {
    if (now - each.first_seen >= kColdSpan) {
      each.warm = true;
    }
    if (each.own) {
      each.facts.OnAge(
          [this, &own = each](uint32_t route) -> const peer_baseline& {
            return PeersOf(own, route);
          },
          now);
      each.facts.Fade(now);
    }
  }
  FindCommonCauses(now);
  FindSlowZones();
  JudgeSelf(actions);
  for (auto& [id, each] : instances_) {
    if (each.own) {
      Judge(each, now, actions);
    }
  }
  ApplyRights(now, actions);
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
  for (const auto& [id, each] : instances_) {
    if (each.own) {
      states.push_back({id, each.entry.incarnation, each.state, each.reason});
    }
  }
  return states;
}

int outlier_detector::CapacitySlots() const {
  return static_cast<int>(View().capacity_instances.size()) *
         rule_.slots_per_instance;
}

int outlier_detector::HealthySlots() const {
  const auto healthy = std::count_if(
      instances_.begin(), instances_.end(), [&](const auto& each) {
        return IsCapacity(each.second) && !each.second.out;
      });
  return static_cast<int>(healthy) * rule_.slots_per_instance;
}

outlier_detector::instance* outlier_detector::Own(std::string_view id) {
  const auto it = instances_.find(id);
  return it != instances_.end() && it->second.own ? &it->second : nullptr;
}

// The way of one instance: open, suspect on some evidence, sick on much; a sick
// one is put forward for ejection, and after its hold goes on probation.
void outlier_detector::Judge(instance& judged, millis now,
                             detector_actions& actions) {
  CheckAbsence(judged, now, actions);
  const double score = judged.facts.Score();
  if (judged.sick) {
    JudgeProbation(judged, now);
  } else if (score >= EjectScore()) {
    FindCommonCauses(now);
    if (MayEject(judged, now)) {
      Condemn(judged, now);
      ApplyRights(now, actions);
    }
  }
  if (score >= SuspectScore() && Silent(judged)) {
    AskOthers(judged, now, actions);
  }
  Publish(judged, now, actions);
}

void outlier_detector::JudgeProbation(instance& judged, millis now) {
  if (!judged.probation) {
    if (now >= judged.probation_at) {
      judged.probation = true;
      judged.facts.Restart();
    }
    return;
  }
  if (judged.facts.Score() >= kProbationScore) {
    Condemn(judged, now);
    return;
  }
  const auto weigh = static_cast<size_t>(rule_.weigh);
  if (judged.facts.good() >= kThresholds[weigh].good &&
      judged.facts.Score() < kProbationScore / 2) {
    Absolve(judged);
  }
}

void outlier_detector::Condemn(instance& judged, millis now) {
  if (now - judged.last_ejection > kEjectionsKept) {
    judged.ejections = 0;
  }
  const int doublings = std::min(judged.ejections, kMostDoublings);
  const millis hold = std::min(kHoldBase * (1 << doublings), kHoldMost);
  ++judged.ejections;
  judged.last_ejection = now;
  judged.sick = true;
  judged.probation = false;
  judged.probation_at = now + hold;
  judged.sick_since = now + wall_offset_;
}

void outlier_detector::Absolve(instance& judged) {
  judged.sick = false;
  judged.probation = false;
  judged.facts.Restart();
}

// An instance that refuses connections runs nothing: it is no capacity, which
// needs no agreement and no room above the floor.
void outlier_detector::CheckAbsence(instance& judged, millis now,
                                    detector_actions& actions) {
  const bool refused = judged.facts.refused_in_a_row() >= kRefusedForAbsence &&
                       judged.last_probe_answered + kProbeFresh < now;
  judged.absent = judged.absent || refused;
  if (judged.absent && now - judged.opinions_asked > kProbeAgain) {
    judged.opinions_asked = now;
    actions.emplace_back(probe_request{judged.entry.id});
  }
}

// An instance that gives no answer may be well and the way to it broken; only
// others can tell.
void outlier_detector::AskOthers(instance& judged, millis now,
                                 detector_actions& actions) {
  if (judged.absent || (judged.opinions_asked != millis() &&
                        now - judged.opinions_asked < kOpinionsKept)) {
    return;
  }
  judged.opinions_asked = now;
  judged.reached = 0;
  judged.unreached = 0;
  opinion_note about;
  about.service = identity_.service;
  about.instance = judged.entry.id;
  about.incarnation = judged.entry.incarnation;
  about.address = judged.entry.address;
  about.port = judged.entry.port;
  actions.emplace_back(opinion_request{std::move(about)});
  actions.emplace_back(probe_request{judged.entry.id});
}

bool outlier_detector::MayEject(const instance& judged, millis now) const {
  const bool suspect = judged.state == instance_state::kSuspect &&
                       now - judged.changed >= kSuspectFirst;
  if (!suspect || doubts_ || node_doubts_ || judged.absent ||
      HasCommonCause(judged, now)) {
    return false;
  }
  if (!Silent(judged)) {
    return true;
  }
  // No answer at all: wait for the others, and believe this node's own probe.
  if (judged.opinions_asked == millis() ||
      now - judged.opinions_asked < kOpinionWait) {
    return false;
  }
  const bool probe_fails =
      judged.last_probe_failed > judged.last_probe_answered;
  return !(probe_fails && judged.reached >= kOpinionsNeeded);
}

bool outlier_detector::Silent(const instance& judged) const {
  return judged.facts.silent_share() > judged.facts.failure_share() / 2 &&
         judged.facts.failure_share() > 0;
}

// What is wanted goes to the ejector, worst first; what it grants is out. A
// departure comes here at once, so that what it takes is given back.
void outlier_detector::ApplyRights(millis now, detector_actions& actions) {
  std::vector<const instance*> sick;
  for (const auto& [id, each] : instances_) {
    if (each.own && each.sick && !each.absent &&
        each.state != instance_state::kLeaving) {
      sick.push_back(&each);
    }
  }
  std::stable_sort(sick.begin(), sick.end(), [](auto left, auto right) {
    if (left->probation != right->probation) {
      return right->probation;
    }
    return left->facts.Score() > right->facts.Score();
  });
  std::vector<wanted_ejection> wanted;
  wanted.reserve(sick.size());
  for (const instance* each : sick) {
    wanted.push_back({each->entry.id, each->entry.incarnation, each->sick_since,
                      each->facts.Describe()});
  }
  ejector_.SetWanted(std::move(wanted), View());
  // Before the first tick the wall clock is not known and no right is in force.
  const bool clocked = wall_offset_ != millis();
  const millis wall = now + wall_offset_;
  if (auto bytes = clocked ? ejector_.Propose(wall) : std::nullopt) {
    actions.emplace_back(ledger_append{*std::move(bytes)});
  }
  const std::set<std::string> granted =
      clocked ? ejector_.Granted(wall) : std::set<std::string>();
  int kept_out = 0;
  for (auto& [id, each] : instances_) {
    each.out = each.own && granted.contains(id);
    kept_out += each.out && IsCapacity(each) ? rule_.slots_per_instance : 0;
    Publish(each, now, actions);
  }
  Check(kept_out == 0 || CapacitySlots() - kept_out >= rule_.floor,
        invariant::kFloor);
  const bool reached = ejector_.HeldBack() > 0;
  if (reached && !floor_reached_) {
    actions.emplace_back(timeline_entry{
        event_kind::kFloorReached, identity_.service,
        std::to_string(ejector_.HeldBack()) + " sick instances stay, " +
            std::to_string(CapacitySlots()) + " slots for a floor of " +
            std::to_string(rule_.floor)});
  }
  floor_reached_ = reached;
}

void outlier_detector::Publish(instance& judged, millis now,
                               detector_actions& actions) {
  const instance_state next = Wanted(judged);
  if (next == judged.state || !judged.own) {
    judged.state = next;
    return;
  }
  if (judged.state == instance_state::kSuspect &&
      next == instance_state::kOpen && now - judged.changed < kSuspectAtLeast) {
    return;
  }
  const instance_state before = std::exchange(judged.state, next);
  judged.changed = now;
  judged.reason = Reason(judged);
  actions.emplace_back(state_change{judged.entry.id, judged.entry.incarnation,
                                    next, judged.reason});
  const std::string subject = identity_.service + "/" + judged.entry.id;
  const bool was_out = before == instance_state::kEjected ||
                       before == instance_state::kProbation;
  if (next == instance_state::kSuspect) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceSuspected, subject, judged.reason});
  } else if (next == instance_state::kEjected) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceEjected, subject, judged.reason});
  } else if (next == instance_state::kLeaving) {
    actions.emplace_back(
        timeline_entry{event_kind::kInstanceLeaving, subject, judged.reason});
  } else if (was_out && next == instance_state::kOpen) {
    actions.emplace_back(timeline_entry{event_kind::kInstanceReinstated,
                                        subject, judged.reason});
  }
  if (judged.cut) {
    actions.emplace_back(unreachable_here{judged.entry.id});
  }
}

instance_state outlier_detector::Wanted(const instance& judged) const {
  if (leaving_.Contains(judged.entry.id, judged.entry.incarnation)) {
    return instance_state::kLeaving;
  }
  if (judged.out) {
    return judged.probation ? instance_state::kProbation
                            : instance_state::kEjected;
  }
  const double score = judged.facts.Score();
  const double bound = judged.state == instance_state::kSuspect
                           ? SuspectScore() * kClearedShare
                           : SuspectScore();
  if (judged.sick || judged.absent || score >= bound ||
      slow_zones_.contains(judged.entry.zone)) {
    return instance_state::kSuspect;
  }
  return judged.warm || judged.known_from_start ? instance_state::kOpen
                                                : instance_state::kCold;
}

std::string outlier_detector::Reason(const instance& judged) const {
  switch (judged.state) {
    case instance_state::kLeaving:
      return "it or the list says that it is leaving";
    case instance_state::kCold:
      return "new";
    case instance_state::kOpen:
      return "works like its peers";
    default:
      break;
  }
  std::string text = judged.facts.Describe();
  if (judged.absent) {
    text = "refuses connections";
  } else if (slow_zones_.contains(judged.entry.zone)) {
    text += ", its zone is slow";
  } else if (judged.reached + judged.unreached > 0 && Silent(judged)) {
    text += ", " + std::to_string(judged.reached) + " of " +
            std::to_string(judged.reached + judged.unreached) +
            " peers reach it";
  }
  if (judged.state == instance_state::kSuspect && judged.sick) {
    text += ", kept by the floor";
  }
  return text;
}

capacity_view outlier_detector::View() const {
  capacity_view view;
  for (const auto& [id, each] : instances_) {
    if (IsCapacity(each)) {
      view.capacity_instances.push_back(id);
    }
  }
  view.floor = rule_.floor;
  view.slots = rule_.slots_per_instance;
  const bool owns =
      std::any_of(instances_.begin(), instances_.end(),
                  [](const auto& each) { return each.second.own; });
  view.shards = owns ? shards_ : 0;
  return view;
}

bool outlier_detector::IsCapacity(const instance& judged) const {
  return judged.warm && !judged.absent &&
         !leaving_.Contains(judged.entry.id, judged.entry.incarnation);
}

double outlier_detector::SuspectScore() const {
  return kThresholds[static_cast<size_t>(rule_.weigh)].suspect;
}

double outlier_detector::EjectScore() const {
  return kThresholds[static_cast<size_t>(rule_.weigh)].eject;
}

}  // namespace peridotarch
