#ifndef TEAMS_FLEET_LIMIT_H_
#define TEAMS_FLEET_LIMIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/millis.h"
#include "core/random.h"
#include "teams/limit_bounds.h"
#include "teams/team.h"
#include "teams/token_bucket.h"
#include "teams/usage_report.h"

namespace peridotarch {

/// Whether a request is within its team's limit.
struct limit_decision {
  bool admitted = true;
  millis retry_after;  ///< If not: until a request would pass.
};

/// Requests of a team begin to be refused, or are no longer.
struct limit_change {
  std::string team;
  bool is_limited = false;
  uint64_t refused = 0;  ///< While it was limited.
};

/// This node's part of the limits that hold for each team over all nodes.
///
/// A node's share of a limit follows its part of the team's requests, as the
/// nodes report them. Nodes that are not heard keep what their number is worth,
/// so the shares of all nodes together never exceed the limit for long, however
/// the fleet is split.
class fleet_limit {
 public:
  /// `starts_full` if no earlier process can have used the limits lately.
  fleet_limit(limit_bounds bounds, uint16_t zone, bool starts_full,
              uint64_t seed)
      : bounds_(bounds),
        zone_(zone),
        starts_full_(starts_full),
        random_(seed) {}

  /// Sets the teams with limits. Those that stay keep their counts.
  void SetTeams(std::span<const team> teams, millis now);
  /// Returns whether any team has a limit.
  [[nodiscard]] bool has_limits() const { return !teams_.empty(); }

  /// Counts a request against its team's limit.
  limit_decision Charge(const std::string& name, millis now);
  /// Takes the count of a request back that no instance has run.
  void Refund(const std::string& name, millis now);

  /// Sets how many nodes the fleet has, silent ones included.
  void SetKnownNodes(int nodes) { known_nodes_ = nodes; }
  /// Takes a report of a peer.
  void Apply(const std::string& peer, const usage_report& report, millis now);
  /// Computes the shares anew; to be called several times a second.
  void Refresh(millis now);

  /// Returns the requests at this node.
  [[nodiscard]] usage_report MakeNodeReport(millis now) const;
  /// Returns the requests at the nodes of this zone that were heard lately.
  [[nodiscard]] usage_report MakeZoneReport(millis now) const;
  /// Returns whether a team uses up its share, so that peers should know soon.
  [[nodiscard]] bool IsNearLimit(millis now) const;
  /// Returns and clears the changes since the last call.
  std::vector<limit_change> TakeChanges(millis now);
  /// Returns the part of the fleet's nodes that is heard.
  [[nodiscard]] double HeardPart() const { return heard_part_; }

 private:
  /// Assumed until the nodes of the fleet are known.
  static constexpr int kUnlistedNodes = 64;

  struct remote_usage {
    uint64_t source = 0;  ///< Key of the peer or of its zone.
    double demand = 0;
    double unused = 0;
    millis heard_at;
  };
  struct limited_team {
    explicit limited_team(millis now) : bucket(now), counted_at(now) {}

    std::string name;
    double rate = 0;
    double burst = 0;
    token_bucket bucket;
    double demand = 0;  ///< At `counted_at`.
    millis counted_at;
    /// Demand at `sampled_at` and at the sample before it.
    double sample = 0;
    double earlier_sample = 0;
    millis sampled_at;
    double share = 0;
    double unused_elsewhere = 0;  ///< Tokens that peers have reported.
    bool has_low_demand =
        false;  ///< Its demand on all nodes is below the limit.
    std::vector<remote_usage> remotes;
    bool is_limited = false;
    millis refused_at;
    uint64_t refused = 0;
  };
  struct source_state {
    millis heard_at;
    uint16_t nodes = 1;
    bool is_zone = false;
  };

  static double DemandAt(const limited_team& one, millis now);
  /// Returns the demand that this node compares with what peers report.
  static double ComparedDemand(limited_team& one, millis now);
  /// Returns the share of a node with `own` of the team's `total` demand.
  [[nodiscard]] double ShareOf(double own, double total, int nodes,
                               millis now) const;
  [[nodiscard]] double CreditOf(const limited_team& one);
  void RefreshTeam(limited_team& one, int nodes, millis now);
  /// Returns the nodes heard lately, this one included.
  [[nodiscard]] int NodesHeard(millis now) const;
  limited_team* Find(const std::string& name);

  const limit_bounds bounds_;
  const uint16_t zone_;
  const bool starts_full_;
  random_bits random_;
  std::unordered_map<std::string, team_key> keys_;
  std::unordered_map<team_key, limited_team> teams_;
  std::unordered_map<uint64_t, source_state> sources_;
  std::vector<limit_change> changes_;
  int known_nodes_ = kUnlistedNodes;
  std::optional<millis> started_at_;  ///< When the first teams were set.
  double heard_part_ = 1;
};

}  // namespace peridotarch

#endif  // TEAMS_FLEET_LIMIT_H_
