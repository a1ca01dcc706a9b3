#include "teams/usage_report.h"

#include <algorithm>
#include <cmath>

#include "core/error.h"
#include "core/fields.h"
#include "core/hash.h"

namespace peridotarch {

namespace {

constexpr size_t kMaxTeams = 140;  // of 8 bytes each in a packet
constexpr double kUnitsPerRequest = 8;

uint16_t ToUnits(double requests) {
  return static_cast<uint16_t>(std::clamp<double>(
      std::round(requests * kUnitsPerRequest), 0, UINT16_MAX));
}

double FromUnits(uint16_t units) { return units / kUnitsPerRequest; }

}  // namespace

team_key TeamKeyOf(std::string_view name) {
  return static_cast<team_key>(Hash64(name));
}

std::vector<std::string> Encode(const usage_report& report) {
  std::vector<std::string> messages;
  size_t next = 0;
  do {
    std::string& message = messages.emplace_back();
    PutField(message, static_cast<uint8_t>(report.scope));
    PutField(message, report.zone);
    PutField(message, report.nodes);
    const size_t end = std::min(report.teams.size(), next + kMaxTeams);
    for (; next < end; ++next) {
      PutField(message, report.teams[next].team);
      PutField(message, ToUnits(report.teams[next].demand));
      PutField(message, ToUnits(report.teams[next].unused));
    }
  } while (next < report.teams.size());
  return messages;
}

usage_report DecodeUsageReport(std::string_view payload) {
  field_reader fields(payload);
  usage_report report;
  const auto scope = fields.Take<uint8_t>();
  if (scope == 0 || scope > static_cast<uint8_t>(usage_scope::kRelayed)) {
    throw codec_error("usage report has an unknown scope");
  }
  report.scope = static_cast<usage_scope>(scope);
  report.zone = fields.Take<uint16_t>();
  report.nodes = fields.Take<uint16_t>();
  while (!fields.empty()) {
    team_usage& usage = report.teams.emplace_back();
    usage.team = fields.Take<uint32_t>();
    usage.demand = FromUnits(fields.Take<uint16_t>());
    usage.unused = FromUnits(fields.Take<uint16_t>());
  }
  return report;
}

}  // namespace peridotarch
