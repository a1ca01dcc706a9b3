#include "config/snapshot.h"

#include <utility>

#include "config/parse.h"
#include "core/error.h"

namespace peridotarch {

namespace {

template <typename Rule>
const Rule* Lookup(
    const std::unordered_map<std::string_view, const Rule*>& table,
    std::string_view name) {
  const auto at = table.find(name);
  return at == table.end() ? nullptr : at->second;
}

}  // namespace

const service_rule* config_snapshot::FindService(std::string_view name) const {
  return Lookup(services_, name);
}

const limit_rule* config_snapshot::FindLimit(std::string_view team) const {
  return Lookup(limits_, team);
}

const instance_rule* config_snapshot::FindInstance(
    std::string_view service, std::string_view instance) const {
  for (const instance_rule& rule : rule_set.instances) {
    if (rule.service == service && rule.instance == instance) {
      return &rule;
    }
  }
  return nullptr;
}

// The maps point into the rules, which stay in place because a snapshot is
// neither copied nor changed.
std::shared_ptr<const config_snapshot> MakeSnapshot(uint64_t revision,
                                                    std::string text) {
  parse_result parsed = ParseRules(text);
  if (!parsed.problems.empty()) {
    throw codec_error("rules file: " + ToText(parsed.problems.front()));
  }
  auto snapshot = std::make_shared<config_snapshot>();
  snapshot->revision = revision;
  snapshot->text_digest = Sha256(text);
  snapshot->text = std::move(text);
  snapshot->rule_set = std::move(parsed.rule_set);
  snapshot->routes = route_table(snapshot->rule_set.routes);
  for (const service_rule& rule : snapshot->rule_set.services) {
    snapshot->services_.emplace(rule.name, &rule);
  }
  for (const limit_rule& rule : snapshot->rule_set.limits) {
    snapshot->limits_.emplace(rule.team, &rule);
  }
  return snapshot;
}

}  // namespace peridotarch
