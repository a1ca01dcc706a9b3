#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "detection/outlier_detector.h"

// The parts of outlier_detector that look at several instances together: the
// baseline that they form, faults common to a zone or to the service, and this
// node's doubt in itself.

namespace peridotarch {

namespace {

/// An instance counts as bad from this share of the suspect score.
constexpr double kBadScoreShare = 0.4;
constexpr millis kCommonCauseTime(2'000);
/// A zone becomes slow at the first multiple of the other zones' latency and
/// stops being slow below the second.
constexpr double kSlowZoneFactor = 2.5;
constexpr double kNormalZoneFactor = 1.7;
/// A zone with at least this many own instances has its own baseline.
constexpr int kMinZoneInstances = 4;
/// Fewer bad instances than this do not hint at a common cause.
constexpr size_t kMinBadInstances = 3;
/// Share of failed attempts at which an instance counts as failing from here.
constexpr double kFailingShare = 0.2;
/// Shares of failing instances at which self-doubt begins and ends.
constexpr double kDoubtShare = 0.7;
constexpr double kTrustShare = 0.4;
const std::string kWholeService;

}  // namespace

// If many instances or a whole zone turn bad at once, the fault is not in the
// instances but in the service, the zone's network or this node.
void outlier_detector::FindCommonCauses(millis now) {
  struct bad_count {
    size_t all = 0;
    size_t bad = 0;
  };
  std::map<std::string_view, bad_count> zones;
  bad_count service;
  for (const auto& [id, target] : instances_) {
    if (!target.is_own || target.is_absent ||
        target.state == instance_state::kLeaving) {
      continue;
    }
    const bool bad = target.is_sick ||
                     target.state == instance_state::kSuspect ||
                     target.facts.Score() >= SuspectScore() * kBadScoreShare;
    for (bad_count* count : {&service, &zones[target.entry.zone]}) {
      ++count->all;
      count->bad += bad ? 1 : 0;
    }
  }
  if (service.bad >= kMinBadInstances && service.bad * 2 > service.all) {
    StartCommonCause(kWholeService, now);
  }
  for (const auto& [zone, count] : zones) {
    if (count.bad >= 2 && count.bad * 5 >= count.all * 3) {
      StartCommonCause(std::string(zone), now);
    }
  }
  for (auto& [id, target] : instances_) {
    if (target.is_own && !target.is_sick && HasCommonCause(target, now)) {
      target.facts.LimitSums(SuspectScore());
    }
  }
}

// The baselines from before a common cause no longer apply; they are reset.
void outlier_detector::StartCommonCause(const std::string& zone, millis now) {
  millis& until = common_cause_until_[zone];
  if (until < now) {
    for (auto& [name, baselines] : baselines_) {
      if (zone == kWholeService || name == zone) {
        baselines = {};
      }
    }
  }
  until = now + kCommonCauseTime;
}

bool outlier_detector::HasCommonCause(const instance& target,
                                      millis now) const {
  for (const std::string* zone : {&kWholeService, &target.entry.zone}) {
    const auto it = common_cause_until_.find(*zone);
    if (it != common_cause_until_.end() && it->second >= now) {
      return true;
    }
  }
  return false;
}

// All instances of a zone that is slower than the others get work last.
// Ejecting them one by one would cost capacity for a fault that is not theirs.
void outlier_detector::FindSlowZones() {
  std::map<std::string, int64_t> medians;
  for (const auto& [zone, size] : own_per_zone_) {
    const auto baselines = baselines_.find(zone);
    int64_t sum = 0;
    int64_t known = 0;
    if (baselines != baselines_.end()) {
      for (const peer_baseline& peers : baselines->second) {
        sum += peers.ready() ? peers.median_us() : 0;
        known += peers.ready() ? 1 : 0;
      }
    }
    if (known > 0) {
      medians[zone] = sum / known;
    }
  }
  for (const auto& [zone, median] : medians) {
    std::vector<int64_t> others;
    for (const auto& [other, value] : medians) {
      if (other != zone) {
        others.push_back(value);
      }
    }
    if (others.empty()) {
      continue;
    }
    std::sort(others.begin(), others.end());
    const auto usual = static_cast<double>(others[others.size() / 2]);
    const bool was_slow = slow_zones_.contains(zone);
    const double factor = was_slow ? kNormalZoneFactor : kSlowZoneFactor;
    if (static_cast<double>(median) >= factor * usual) {
      slow_zones_.insert(zone);
    } else {
      slow_zones_.erase(zone);
    }
  }
}

void outlier_detector::UpdateSelfDoubt(detector_actions& actions) {
  size_t all = 0;
  size_t failing = 0;
  for (const auto& [id, target] : instances_) {
    if (target.is_own && target.state != instance_state::kLeaving) {
      ++all;
      failing += target.facts.failure_share() >= kFailingShare ? 1 : 0;
    }
  }
  const double share = doubts_itself_ ? kTrustShare : kDoubtShare;
  const bool doubts =
      failing >= kMinBadInstances &&
      static_cast<double>(failing) >= share * static_cast<double>(all);
  if (doubts == doubts_itself_) {
    return;
  }
  doubts_itself_ = doubts;
  actions.emplace_back(timeline_entry{
      event_kind::kSelfDoubt, identity_.service,
      (doubts ? "begins: " : "ends: ") + std::to_string(failing) + " of " +
          std::to_string(all) + " instances fail from here"});
}

const peer_baseline& outlier_detector::BaselineFor(const instance& target,
                                                   uint32_t route) const {
  static const peer_baseline no_peers;
  const size_t route_class = route % kRouteClasses;
  const auto size = own_per_zone_.find(target.entry.zone);
  if (size != own_per_zone_.end() && size->second >= kMinZoneInstances) {
    const auto zone = baselines_.find(target.entry.zone);
    if (zone != baselines_.end() && zone->second[route_class].ready()) {
      return zone->second[route_class];
    }
  }
  const auto service = baselines_.find(kWholeService);
  return service == baselines_.end() ? no_peers : service->second[route_class];
}

// Only open instances form the baseline, so that suspect ones do not shift it.
// Under a common cause all instances form it, because then the baseline itself
// has to move. The baseline of a slow zone also follows its suspect instances.
void outlier_detector::UpdateBaselines(const instance& target,
                                       const outcome& ended, millis now) {
  const bool open = target.state == instance_state::kOpen;
  const bool common = HasCommonCause(target, now);
  const bool slow = slow_zones_.contains(target.entry.zone);
  const size_t route_class = ended.route % kRouteClasses;
  for (const std::string* zone : {&kWholeService, &target.entry.zone}) {
    const bool is_counted = zone == &kWholeService
                                ? open || common
                                : open || common || (slow && !target.is_sick);
    if (!is_counted) {
      continue;
    }
    peer_baseline& peers = baselines_[*zone][route_class];
    if (ended.kind == outcome_kind::kOk) {
      peers.AddAnswer(ended.latency_us);
    } else {
      peers.AddFailure();
    }
  }
}

}  // namespace peridotarch
