#ifndef TEAMS_USAGE_REPORT_H_
#define TEAMS_USAGE_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

/// Short identifier of a team in reports, a hash of its name.
using team_key = uint32_t;

team_key TeamKeyOf(std::string_view name);

/// The requests of one team, and what is left of its limit.
struct team_usage {
  team_key team = 0;
  double demand = 0;  ///< Moving count of requests, refused ones included.
  double unused = 0;  ///< Tokens.

  bool operator==(const team_usage&) const = default;
};

/// Whose requests a report counts.
enum class usage_scope : uint8_t {
  kNode = 1,     ///< Of the sender alone.
  kZone = 2,     ///< Of the sender's zone, for another zone.
  kRelayed = 3,  ///< The same, passed on in the zone of the receiver.
};

/// What one node, or the nodes of one zone, tell of the teams seen lately.
struct usage_report {
  usage_scope scope = usage_scope::kNode;
  uint16_t zone = 0;   ///< Key of the availability zone that is counted.
  uint16_t nodes = 1;  ///< That are counted.
  std::vector<team_usage> teams;

  bool operator==(const usage_report&) const = default;
};

/// Encodes the report in messages that fit in a packet each; at least one.
std::vector<std::string> Encode(const usage_report& report);
/// Decodes one message; throws codec_error.
usage_report DecodeUsageReport(std::string_view payload);

}  // namespace peridotarch

#endif  // TEAMS_USAGE_REPORT_H_
