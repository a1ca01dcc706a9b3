#include "cli/status.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "cli/arguments.h"
#include "cli/fleet.h"
#include "cli/fleet_status.h"
#include "cli/settings.h"
#include "core/error.h"
#include "core/exit_code.h"

namespace peridotarch {

namespace {

fleet_status Gather(const cli_settings& settings) {
  std::vector<node_status> nodes;
  std::vector<silent_node> silent;
  const auto proxies = ReadFleet(settings);
  for (const auto& answer : CallFleet(settings, proxies, "status", "{}")) {
    try {
      if (!answer.failure.empty()) {
        throw platform_error(answer.failure);
      }
      nodes.push_back(DecodeStatus(answer.result));
    } catch (const error& failure) {
      silent.push_back({answer.proxy.id, failure.what()});
    }
  }
  return MergeStatus(std::move(nodes), std::move(silent));
}

}  // namespace

// The exit code lets a script watch the promise that matters most: no service
// below its floor.
int StatusCommand(const cli_settings& settings,
                  const std::vector<std::string>& args, std::ostream& out,
                  std::ostream& err) {
  const arguments parsed(args, {}, 0);
  RequireFleet(settings);
  const fleet_status fleet = Gather(settings);
  out << (settings.json ? ToJson(fleet) : ToText(fleet));
  if (fleet.nodes.empty()) {
    err << "peridotarch: no proxy answers\n";
    return ToInt(exit_code::kUnreachable);
  }
  const bool below =
      std::any_of(fleet.services.begin(), fleet.services.end(), BelowFloor);
  return ToInt(below ? exit_code::kFailed : exit_code::kOk);
}

}  // namespace peridotarch
