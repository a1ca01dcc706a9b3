#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/fleet_status.h"

namespace peridotarch {

namespace {

using nlohmann::json;

constexpr int kIdColumn = 20;
constexpr int kShortColumn = 16;

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? word : ' ' + word;
  }
  return text;
}

std::string Joined(const std::vector<int>& numbers) {
  std::string text;
  for (const int number : numbers) {
    text += text.empty() ? "" : " ";
    text += std::to_string(number);
  }
  return text;
}

std::string Doubts(const node_status& node) {
  std::vector<std::string> doubts;
  if (node.doubts_itself) {
    doubts.emplace_back("itself");
  }
  doubts.insert(doubts.end(), node.suspects.begin(), node.suspects.end());
  if (!node.log_reachable) {
    doubts.emplace_back("log-away");
  }
  return doubts.empty() ? "-" : Joined(doubts);
}

void PrintNodes(const fleet_status& fleet, std::ostream& out) {
  out << std::left << std::setw(kIdColumn) << "NODE" << std::setw(kShortColumn)
      << "ZONE" << std::setw(kShortColumn) << "REVISION"
      << std::setw(kShortColumn) << "MEMBERS"
      << "DOUBTS\n";
  for (const node_status& node : fleet.nodes) {
    const bool behind = node.revision < fleet.newest_revision;
    const std::string revision =
        std::to_string(node.revision) + (behind ? " behind" : "");
    out << std::setw(kIdColumn) << node.node << std::setw(kShortColumn)
        << node.zone << std::setw(kShortColumn) << revision
        << std::setw(kShortColumn) << node.members << Doubts(node) << '\n';
  }
  for (const silent_node& node : fleet.silent) {
    out << std::setw(kIdColumn) << node.node << "no answer: " << node.failure
        << '\n';
  }
}

void PrintService(const service_summary& service, std::ostream& out) {
  out << "\nservice " << service.name << ": capacity " << service.capacity
      << " of " << service.slots << " slots, floor " << service.floor
      << ", busy " << service.busy << ", queued " << service.queued;
  if (BelowFloor(service)) {
    out << "  BELOW ITS FLOOR";
  }
  out << '\n';
  if (!service.unreported.empty()) {
    out << "  shards without a reporting owner: " << Joined(service.unreported)
        << " of " << service.shards << "; the capacity is a lower bound\n";
  }
  if (!service.contested.empty()) {
    out << "  shards with two owners: " << Joined(service.contested) << '\n';
  }
  size_t open = 0;
  for (const instance_status& each : service.instances) {
    if (each.state == instance_state::kOpen) {
      ++open;
      continue;
    }
    out << "  " << std::left << std::setw(kIdColumn) << each.id
        << std::setw(kShortColumn) << each.zone << std::setw(kShortColumn)
        << ToName(each.state) << each.reason << '\n';
  }
  out << "  open: " << open << " of " << service.instances.size()
      << " instances\n";
}

json ToValue(const service_summary& service) {
  json instances = json::array();
  for (const instance_status& each : service.instances) {
    instances.push_back({{"id", each.id},
                         {"zone", each.zone},
                         {"state", ToName(each.state)},
                         {"reason", each.reason},
                         {"slots", each.slots},
                         {"busy", each.busy}});
  }
  return {{"service", service.name},
          {"floor", service.floor},
          {"capacity", service.capacity},
          {"slots", service.slots},
          {"busy", service.busy},
          {"queued", service.queued},
          {"below_floor", BelowFloor(service)},
          {"shards", service.shards},
          {"unreported_shards", service.unreported},
          {"contested_shards", service.contested},
          {"instances", std::move(instances)}};
}

json ToValue(const node_status& node) {
  return {{"node", node.node},         {"zone", node.zone},
          {"revision", node.revision}, {"digest", node.digest},
          {"members", node.members},   {"doubts_itself", node.doubts_itself},
          {"suspects", node.suspects}, {"log_reachable", node.log_reachable}};
}

}  // namespace

std::string ToText(const fleet_status& fleet) {
  std::ostringstream out;
  out << "fleet: " << fleet.nodes.size() << " nodes answer, "
      << fleet.silent.size() << " do not; revision " << fleet.newest_revision
      << " in force on " << fleet.nodes.size() - fleet.nodes_behind << "\n\n";
  PrintNodes(fleet, out);
  for (const service_summary& service : fleet.services) {
    PrintService(service, out);
  }
  return out.str();
}

std::string ToJson(const fleet_status& fleet) {
  json nodes = json::array();
  for (const node_status& node : fleet.nodes) {
    nodes.push_back(ToValue(node));
  }
  json silent = json::array();
  for (const silent_node& node : fleet.silent) {
    silent.push_back({{"node", node.node}, {"failure", node.failure}});
  }
  json services = json::array();
  for (const service_summary& service : fleet.services) {
    services.push_back(ToValue(service));
  }
  const json all = {{"newest_revision", fleet.newest_revision},
                    {"nodes_behind", fleet.nodes_behind},
                    {"nodes", std::move(nodes)},
                    {"no_answer", std::move(silent)},
                    {"services", std::move(services)}};
  return all.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

}  // namespace peridotarch
