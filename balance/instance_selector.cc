#include "balance/instance_selector.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

constexpr millis kPeerTimeout(2'500);  // two missed reports a second apart
constexpr millis kUnreachableHold(500);
constexpr int kMaxUnreachableDoublings = 3;
// Another instance keeps the address, and the outdated entry is removed soon.
constexpr millis kMovedHold(5'000);
constexpr size_t kMaxRecentOutcomes = 8;
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
    notices_.NoteListed(entry, now);
  }
  notices_.Prune(now);
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

bool instance_selector::HasSpareSlots(instance_key key) const {
  const auto found = instances_.find(key);
  return found != instances_.end() &&
         found->second.InFlight() + 1 < found->second.entry.slots;
}

void instance_selector::CountSuspects() {
  suspect_count_ = static_cast<size_t>(
      std::count_if(instances_.begin(), instances_.end(), [](const auto& item) {
        return item.second.is_listed && item.second.health.suspect();
      }));
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

load_change instance_selector::End(instance_key key, attempt_outcome outcome,
                                   millis work, millis now, uint32_t route) {
  const auto found = instances_.find(key);
  if (found == instances_.end()) {
    return load_change::kSlotFreed;
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
  const load_change change = ChangeAfter(outcome, instance.health, now);
  // A good answer of an instance that is not suspect is not worth reporting.
  if (outcome != attempt_outcome::kOk || instance.health.suspect()) {
    AddRecentOutcome(key, outcome, now);
  }
  if (outcome == attempt_outcome::kOk && now >= instance.cold_until) {
    stats_[instance.entry.service].work.NoteWork(route, work);
  }
  ApplyOutcome(instance, outcome, "", now);
  notices_.NoteOutcome(key, outcome, instance.entry.slots, now);
  return change;
}

load_change instance_selector::NoteEarlyOutcome(instance_key key,
                                                attempt_outcome outcome,
                                                millis now) {
  const auto found = instances_.find(key);
  if (found == instances_.end()) {
    return load_change::kSlotFreed;
  }
  const load_change change = ChangeAfter(outcome, found->second.health, now);
  AddRecentOutcome(key, outcome, now);
  ApplyOutcome(found->second, outcome, "", now);
  return change;
}

void instance_selector::AddRecentOutcome(instance_key key,
                                         attempt_outcome outcome, millis now,
                                         uint16_t start) {
  if (outcome == attempt_outcome::kUnknown) {
    return;
  }
  recent_outcomes_.push_back(
      {{++last_outcome_number_, key, outcome, millis(0), start}, now});
  while (recent_outcomes_.size() > kMaxRecentOutcomes) {
    recent_outcomes_.pop_front();
  }
}

void instance_selector::ApplyOutcome(tracked_instance& instance,
                                     attempt_outcome outcome,
                                     const std::string& told_by,
                                     millis ended_at) {
  if (outcome == attempt_outcome::kMoved) {
    instance.unreachable_until = ended_at + kMovedHold;
  }
  if (instance.health.RecordOutcome(outcome, ended_at)) {
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

void instance_selector::ApplyLoad(const std::vector<load_entry>& load,
                                  peer_state& peer, millis now) {
  SubtractLoad(peer);
  peer.load = load;
  for (load_entry& entry : peer.load) {
    const auto found = instances_.find(entry.instance);
    if (found == instances_.end()) {
      entry.in_flight = 0;
      continue;
    }
    found->second.peers_in_flight += entry.in_flight;
    found->second.used_at = now;
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
      (is_same_start && !IsLater(report.number, state.report_number))) {
    return;
  }
  state.heard_at = now;
  state.report_number = report.number;
  ApplyLoad(report.load, state, now);
  if (!is_same_start) {
    state.incarnation = report.incarnation;
    state.outcome_number.reset();
  }
  for (const outcome_entry& entry : report.outcomes) {
    if (state.outcome_number && !IsLater(entry.number, *state.outcome_number)) {
      continue;
    }
    state.outcome_number = entry.number;
    const auto found = instances_.find(entry.instance);
    if (found != instances_.end()) {
      ApplyReported(found->second, entry, peer, now);
    }
  }
}

// A leaving that a peer has seen holds only for the start that this node knows.
void instance_selector::ApplyReported(tracked_instance& instance,
                                      const outcome_entry& reported,
                                      const std::string& peer, millis now) {
  if (reported.outcome != attempt_outcome::kLeaving) {
    ApplyOutcome(instance, reported.outcome, peer, now - reported.age);
  } else if (reported.start == StartKeyOf(instance.entry.started_at)) {
    notices_.NoteLeaving(instance.entry, peer, now);
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
          {instance->key, static_cast<uint8_t>(std::min(instance->own_in_flight,
                                                        kMaxReported))});
    }
  }
  for (const recent_outcome& recent : recent_outcomes_) {
    if (now - recent.recorded_at < kOutcomeRepeatTime) {
      report.outcomes.push_back(recent.entry);
      report.outcomes.back().age = now - recent.recorded_at;
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

bool instance_selector::IsInUse(const instance_entry& instance) const {
  const instance_entry* listed = Find(KeyOf(instance.id));
  return listed != nullptr && !listed->draining &&
         listed->address == instance.address && listed->port == instance.port;
}

}  // namespace peridotarch
