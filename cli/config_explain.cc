#include "cli/config_explain.h"

#include <nlohmann/json.hpp>

#include "cli/arguments.h"
#include "cli/config_file.h"
#include "cli/config_log.h"
#include "cli/fleet.h"
#include "cli/settings.h"
#include "config/line_diff.h"
#include "core/error.h"
#include "core/exit_code.h"
#include "platform/blocking.h"

namespace peridotarch {

namespace {

/// A rule and the line that it stands on.
nlohmann::json RuleAsJson(const config_snapshot& config, int line,
                          const std::string& asked_by) {
  std::string text(
      LinesWithEnds(config.text).at(static_cast<size_t>(line) - 1));
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return {{"line", line}, {"text", text}, {"asked_by", asked_by}};
}

std::string Mark(const config_snapshot& config, const host& instance) {
  const instance_rule* rule =
      config.FindInstance(instance.service, instance.id);
  if (rule == nullptr) {
    return std::string(ToName(instance.state));
  }
  const bool drain = rule->act == instance_rule::action::kDrain;
  return std::string(drain ? "drained" : "pinned") + " by line " +
         std::to_string(rule->line);
}

nlohmann::json Explain(const config_snapshot& config, const route_rule& route,
                       const std::string& team) {
  nlohmann::json value{{"revision", config.revision}};
  value["route"] = RuleAsJson(config, route.line, route.asked_by);
  if (const service_rule* service = config.FindService(route.service)) {
    value["service"] = RuleAsJson(config, service->line, service->asked_by);
  }
  if (const limit_rule* limit = config.FindLimit(team)) {
    value["limit"] = RuleAsJson(config, limit->line, limit->asked_by);
  }
  return value;
}

// The platform's list says which instances there are; what each owner thinks
// of them is in `status`.
nlohmann::json Instances(const cli_settings& settings,
                         const config_snapshot& config,
                         const std::string& service) {
  nlohmann::json list = nlohmann::json::array();
  if (settings.hosts_host.empty()) {
    return list;
  }
  for (const host& instance :
       ReadHosts({settings.hosts_host, settings.hosts_port}).hosts) {
    if (instance.service == service) {
      list.push_back({{"id", instance.id},
                      {"zone", instance.zone},
                      {"state", Mark(config, instance)}});
    }
  }
  return list;
}

void PrintText(const nlohmann::json& value, std::ostream& out) {
  out << "revision " << value["revision"].get<uint64_t>() << '\n';
  for (const char* kind : {"route", "service", "limit"}) {
    if (value.contains(kind)) {
      out << "line " << value[kind]["line"].get<int>() << ": "
          << value[kind]["text"].get<std::string>() << '\n';
    }
  }
  for (const auto& instance : value["instances"]) {
    out << "  instance " << instance["id"].get<std::string>() << " in "
        << instance["zone"].get<std::string>() << ": "
        << instance["state"].get<std::string>() << '\n';
  }
}

}  // namespace

int ExplainCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err) {
  constexpr size_t kWords = 2;
  const arguments parsed(args, {"file", "team"}, kWords);
  if (parsed.words().size() != kWords) {
    throw settings_error(
        "explain: allowed are a method and a path, such as GET /boxes/7");
  }
  const std::string& method = parsed.words()[0];
  const std::string& path = parsed.words()[1];
  const auto file = parsed.Text("file");
  const auto config = file ? MakeSnapshot(0, ReadConfigFile(*file).text)
                           : ReadConfigLog(settings, false).head.snapshot;
  const route_rule* route = config->routes.Match(method, path);
  if (route == nullptr) {
    err << "no route matches " << method << ' ' << path << " in revision "
        << config->revision << '\n';
    return ToInt(exit_code::kFailed);
  }
  nlohmann::json value =
      Explain(*config, *route, parsed.Text("team").value_or(""));
  value["instances"] = Instances(settings, *config, route->service);
  if (settings.json) {
    out << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
  } else {
    PrintText(value, out);
  }
  return ToInt(exit_code::kOk);
}

}  // namespace peridotarch
