#include "teams/fleet_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"
#include "request/team_limit.h"

namespace peridotarch {

namespace {

// Reports come once a second; one may be lost.
constexpr millis kUsageLifetime(2'500);
// The requests of the last seconds count, older ones the less. With a
// shorter time, the shares of nodes with few requests vary too much.
constexpr double kDemandMillis = 4'000;
constexpr double kLeastDemand = 0.05;
constexpr double kMillisPerSecond = 1000;
// Part of what may be run beyond the limit that nodes use as credit; the rest
// covers shares that do not add up while demand moves.
constexpr double kCreditPart = 0.5;
// Part of the overage by which the rate of the shares exceeds the limit's. Some
// of the tokens are always at nodes that have no request for them.
constexpr double kOveragePart = 0.5;
// Tokens that peers report as unused are soon taken back if they need them.
constexpr double kUnusedFactor = 3;
// A team whose demand on all nodes is below this part of its limit uses little
// of the window that the limit holds for. Each node may then take some requests
// on credit, so that callers on few nodes are not refused below the limit.
constexpr double kLowDemandPart = 0.75;
constexpr double kLowDemandCredit = 4;
constexpr double kNearPart = 0.3;
// What peers report is up to so old. If a node compared its present demand with
// it, all nodes would raise their shares when a flood begins.
constexpr millis kSampleInterval(1'000);
constexpr double kNewDemand = 1.5;  // of a team that a node has not seen before
// After the start, peers have not yet reported their demand.
constexpr millis kStartTime(2'500);
constexpr millis kLimitedTime(2'000);  // without a refusal until the end
constexpr millis kLeastRetryAfter(50);

}  // namespace

double fleet_limit::DemandAt(const limited_team& one, millis now) {
  const auto elapsed = static_cast<double>((now - one.counted_at).count());
  return elapsed <= 0 ? one.demand
                      : one.demand * std::exp(-elapsed / kDemandMillis);
}

double fleet_limit::ComparedDemand(limited_team& one, millis now) {
  if (now - one.sampled_at >= kSampleInterval) {
    one.earlier_sample = one.sample;
    one.sample = DemandAt(one, now);
    one.sampled_at = now;
  }
  return std::max(one.earlier_sample, std::min(DemandAt(one, now), kNewDemand));
}

double fleet_limit::ShareOf(double own, double total, int nodes,
                            millis now) const {
  const double equal = EqualShare(nodes);
  const double known = std::clamp(
      static_cast<double>((now - started_at_.value_or(now)).count()) /
          static_cast<double>(kStartTime.count()),
      0.0, 1.0);
  const double part = starts_full_ ? 1 : known;
  return heard_part_ *
         (part * ShareByDemand(own, total, nodes) + (1 - part) * equal);
}

fleet_limit::limited_team* fleet_limit::Find(const std::string& name) {
  const auto key = keys_.find(name);
  return key == keys_.end() ? nullptr : &teams_.at(key->second);
}

// Buckets start empty: an earlier process of this node may have used the share
// just before it ended.
void fleet_limit::SetTeams(std::span<const team> teams, millis now) {
  const bool fills_new = starts_full_ && !started_at_;
  started_at_ = started_at_.value_or(now);
  std::unordered_map<team_key, limited_team> kept = std::move(teams_);
  teams_.clear();
  keys_.clear();
  for (const team& configured : teams) {
    if (configured.rate <= 0) {
      continue;
    }
    const team_key key = TeamKeyOf(configured.name);
    const auto known = kept.find(key);
    const bool is_new = known == kept.end();
    auto [added, inserted] = teams_.emplace(
        key, is_new ? limited_team(now) : std::move(known->second));
    limited_team& one = added->second;
    one.name = configured.name;
    one.rate = configured.rate;
    one.burst = configured.burst;
    keys_.emplace(configured.name, key);
    if (is_new) {
      RefreshTeam(one, NodesHeard(now), now);
      if (fills_new) {
        one.bucket.Fill();
      }
    }
  }
  Refresh(now);
}

// A share may be worth less than one request, so the last request on credit is
// admitted at random: on average the nodes use no more than their credit.
double fleet_limit::CreditOf(const limited_team& one) {
  const double beyond =
      bounds_.overage *
          (one.rate * static_cast<double>(bounds_.window.count()) /
               kMillisPerSecond +
           one.burst) +
      bounds_.slack;
  double credit =
      one.share * (kCreditPart * beyond + kUnusedFactor * one.unused_elsewhere);
  if (one.has_low_demand) {
    credit = std::max(credit, kLowDemandCredit);
  }
  const double whole = std::floor(credit);
  return whole + (random_.Unit() < credit - whole ? 1 : 0);
}

limit_decision fleet_limit::Charge(const std::string& name, millis now) {
  limited_team* one = Find(name);
  if (one == nullptr) {
    return {};
  }
  one->demand = DemandAt(*one, now) + 1;
  one->counted_at = now;
  if (one->demand < 2) {  // the team is new here
    RefreshTeam(*one, NodesHeard(now), now);
  }
  if (one->bucket.Take(CreditOf(*one), now)) {
    return {};
  }
  one->refused_at = now;
  ++one->refused;
  if (!one->is_limited) {
    one->is_limited = true;
    changes_.push_back({one->name, true, 0});
  }
  return {false, std::max(kLeastRetryAfter, one->bucket.TimeToToken(now))};
}

void fleet_limit::Refund(const std::string& name, millis now) {
  if (limited_team* one = Find(name)) {
    one->bucket.GiveBack(now);
  }
}

void fleet_limit::Apply(const std::string& peer, const usage_report& report,
                        millis now) {
  const bool is_zone = report.scope != usage_scope::kNode;
  if (is_zone && report.zone == zone_) {
    return;  // its nodes report for themselves
  }
  const uint64_t source = is_zone ? report.zone : Hash64(peer) | 1ULL << 32;
  sources_[source] = {now, report.nodes, is_zone};
  for (const team_usage& usage : report.teams) {
    const auto found = teams_.find(usage.team);
    if (found == teams_.end()) {
      continue;
    }
    std::vector<remote_usage>& remotes = found->second.remotes;
    const auto known = std::find_if(
        remotes.begin(), remotes.end(),
        [source](const auto& one) { return one.source == source; });
    const remote_usage entry{source, usage.demand, usage.unused, now};
    if (known == remotes.end()) {
      remotes.push_back(entry);
    } else {
      *known = entry;
    }
  }
}

int fleet_limit::NodesHeard(millis now) const {
  int nodes = 1;
  for (const auto& [key, source] : sources_) {
    nodes += now - source.heard_at < kUsageLifetime ? source.nodes : 0;
  }
  return nodes;
}

// Nodes that are not heard may use what their number is worth, so the nodes
// that hear each other divide the rest among themselves.
void fleet_limit::Refresh(millis now) {
  std::erase_if(sources_, [now](const auto& one) {
    return now - one.second.heard_at >= kUsageLifetime;
  });
  const int heard = NodesHeard(now);
  heard_part_ = static_cast<double>(heard) / std::max(known_nodes_, heard);
  for (auto& [key, one] : teams_) {
    RefreshTeam(one, heard, now);
  }
}

void fleet_limit::RefreshTeam(limited_team& one, int nodes, millis now) {
  std::erase_if(one.remotes, [now](const remote_usage& remote) {
    return now - remote.heard_at >= kUsageLifetime;
  });
  const double own = ComparedDemand(one, now);
  double total = own;
  one.unused_elsewhere = 0;
  for (const remote_usage& remote : one.remotes) {
    total += remote.demand;
    one.unused_elsewhere += remote.unused;
  }
  one.share = ShareOf(own, total, nodes, now);
  one.has_low_demand = total * kMillisPerSecond / kDemandMillis <=
                       kLowDemandPart * one.rate * heard_part_;
  const double rate = one.rate * (1 + kOveragePart * bounds_.overage);
  one.bucket.SetLimit(rate * one.share, one.burst * one.share, now);
}

usage_report fleet_limit::MakeNodeReport(millis now) const {
  usage_report report;
  report.zone = zone_;
  for (const auto& [key, one] : teams_) {
    const double demand = DemandAt(one, now);
    if (demand >= kLeastDemand) {
      report.teams.push_back(
          {key, demand, std::max(0.0, one.bucket.TokensAt(now))});
    }
  }
  return report;
}

usage_report fleet_limit::MakeZoneReport(millis now) const {
  usage_report report = MakeNodeReport(now);
  report.scope = usage_scope::kZone;
  std::map<team_key, team_usage> sums;
  for (const team_usage& usage : report.teams) {
    sums[usage.team] = usage;
  }
  for (const auto& [key, source] : sources_) {
    if (!source.is_zone && now - source.heard_at < kUsageLifetime) {
      ++report.nodes;
    }
  }
  for (const auto& [key, one] : teams_) {
    for (const remote_usage& remote : one.remotes) {
      const auto source = sources_.find(remote.source);
      if (source == sources_.end() || source->second.is_zone ||
          now - remote.heard_at >= kUsageLifetime) {
        continue;
      }
      team_usage& sum = sums[key];
      sum.team = key;
      sum.demand += remote.demand;
      sum.unused += remote.unused;
    }
  }
  report.teams.clear();
  for (const auto& [key, usage] : sums) {
    report.teams.push_back(usage);
  }
  return report;
}

bool fleet_limit::IsNearLimit(millis now) const {
  return std::any_of(teams_.begin(), teams_.end(), [now](const auto& item) {
    const limited_team& one = item.second;
    const double demand_rate =
        DemandAt(one, now) / (kDemandMillis / kMillisPerSecond);
    return demand_rate > one.rate * one.share &&
           one.bucket.TokensAt(now) < kNearPart * one.burst * one.share;
  });
}

std::vector<limit_change> fleet_limit::TakeChanges(millis now) {
  for (auto& [key, one] : teams_) {
    if (one.is_limited && now - one.refused_at >= kLimitedTime) {
      one.is_limited = false;
      changes_.push_back({one.name, false, std::exchange(one.refused, 0)});
    }
  }
  return std::exchange(changes_, {});
}

}  // namespace peridotarch
