#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "detection/outlier_detector.h"

// What several instances have in common: the measure of health that they make,
// faults of a whole zone or service, and doubt in this node itself.

namespace peridotarch {

namespace {

constexpr double kUneasyShare = 0.4;  ///< Of the suspect score.
constexpr millis kCauseKept(2'000);
constexpr double kZoneSlower = 2.5;
constexpr double kZoneAlike = 1.7;
constexpr int kZonePeers = 4;  ///< Instances that make a zone's own reference.
constexpr size_t kFewest = 3;  ///< Sick instances that hint at a common cause.
constexpr double kDoubtFailures = 0.2;
constexpr double kDoubtShare = 0.7;
constexpr double kTrustShare = 0.4;
const std::string kWholeService;

}  // namespace

// Faults that come to many at once, or to a whole zone, are not the instance's
// own: the service, the zone's network or this node is at fault.
void outlier_detector::FindCommonCauses(millis now) {
  struct count {
    size_t all = 0;
    size_t bad = 0;
  };
  std::map<std::string_view, count> zones;
  count service;
  for (const auto& [id, each] : instances_) {
    if (!each.own || each.absent || each.state == instance_state::kLeaving) {
      continue;
    }
    const bool bad = each.sick || each.state == instance_state::kSuspect ||
                     each.facts.Score() >= SuspectScore() * kUneasyShare;
    for (count* counted : {&service, &zones[each.entry.zone]}) {
      ++counted->all;
      counted->bad += bad ? 1 : 0;
    }
  }
  if (service.bad >= kFewest && service.bad * 2 > service.all) {
    BeginCause(kWholeService, now);
  }
  for (const auto& [zone, counted] : zones) {
    if (counted.bad >= 2 && counted.bad * 5 >= counted.all * 3) {
      BeginCause(std::string(zone), now);
    }
  }
  for (auto& [id, each] : instances_) {
    if (each.own && !each.sick && HasCommonCause(each, now)) {
      each.facts.Cap(SuspectScore());
    }
  }
}

// What the peers looked like before no longer tells; it is learnt anew.
void outlier_detector::BeginCause(const std::string& zone, millis now) {
  millis& until = causes_[zone];
  if (until < now) {
    for (auto& [name, peers] : references_) {
      if (zone == kWholeService || name == zone) {
        peers = {};
      }
    }
  }
  until = now + kCauseKept;
}

bool outlier_detector::HasCommonCause(const instance& judged,
                                      millis now) const {
  for (const std::string* zone : {&kWholeService, &judged.entry.zone}) {
    const auto it = causes_.find(*zone);
    if (it != causes_.end() && it->second >= now) {
      return true;
    }
  }
  return false;
}

// A zone that is slower than the others gets work last as a whole; ejecting
// its instances one by one would take capacity for a fault that is not theirs.
void outlier_detector::FindSlowZones() {
  std::map<std::string, int64_t> medians;
  for (const auto& [zone, size] : zone_sizes_) {
    const auto peers = references_.find(zone);
    int64_t sum = 0;
    int64_t known = 0;
    if (peers != references_.end()) {
      for (const peer_baseline& each : peers->second) {
        sum += each.ready() ? each.median_us() : 0;
        known += each.ready() ? 1 : 0;
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
    const bool was = slow_zones_.contains(zone);
    const double bound = was ? kZoneAlike : kZoneSlower;
    if (static_cast<double>(median) >= bound * usual) {
      slow_zones_.insert(zone);
    } else {
      slow_zones_.erase(zone);
    }
  }
}

void outlier_detector::JudgeSelf(detector_actions& actions) {
  size_t all = 0;
  size_t failing = 0;
  for (const auto& [id, each] : instances_) {
    if (each.own && each.state != instance_state::kLeaving) {
      ++all;
      failing += each.facts.failure_share() >= kDoubtFailures ? 1 : 0;
    }
  }
  const double bound = doubts_ ? kTrustShare : kDoubtShare;
  const bool doubts =
      failing >= kFewest &&
      static_cast<double>(failing) >= bound * static_cast<double>(all);
  if (doubts == doubts_) {
    return;
  }
  doubts_ = doubts;
  actions.emplace_back(timeline_entry{
      event_kind::kSelfDoubt, identity_.service,
      (doubts ? "begins: " : "ends: ") + std::to_string(failing) + " of " +
          std::to_string(all) + " instances fail from here"});
}

const peer_baseline& outlier_detector::PeersOf(const instance& judged,
                                               uint32_t route) const {
  static const peer_baseline no_peers;
  const size_t route_class = route % kRouteClasses;
  const auto size = zone_sizes_.find(judged.entry.zone);
  if (size != zone_sizes_.end() && size->second >= kZonePeers) {
    const auto zone = references_.find(judged.entry.zone);
    if (zone != references_.end() && zone->second[route_class].ready()) {
      return zone->second[route_class];
    }
  }
  const auto service = references_.find(kWholeService);
  return service == references_.end() ? no_peers : service->second[route_class];
}

// Work of instances under suspicion does not make the measure of health, unless
// the cause is common: then it is the measure that has to move. A zone's own
// measure also follows a zone that is slow as a whole.
void outlier_detector::Learn(const instance& judged, const outcome& ended,
                             millis now) {
  const bool open = judged.state == instance_state::kOpen;
  const bool common = HasCommonCause(judged, now);
  const bool slow = slow_zones_.contains(judged.entry.zone);
  const size_t route_class = ended.route % kRouteClasses;
  for (const std::string* zone : {&kWholeService, &judged.entry.zone}) {
    const bool counts = zone == &kWholeService
                            ? open || common
                            : open || common || (slow && !judged.sick);
    if (!counts) {
      continue;
    }
    peer_baseline& peers = references_[*zone][route_class];
    if (ended.kind == outcome_kind::kOk) {
      peers.AddAnswer(ended.latency_us);
    } else {
      peers.AddFailure();
    }
  }
}

}  // namespace peridotarch
