// Which configuration is in force, and which one peers get from this node.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"
#include "core/record_position.h"
#include "front/store_watch.h"

namespace peridotarch {

bool store_watch::ApplyConfig(const keyed_page& page, std::string_view source) {
  const record_offset known = config_.next_offset.value_or(record_offset());
  config_.next_offset = std::max(page.next, known);
  node_->store_era = std::max(node_->store_era, EraOf(page.next));
  if (page.next < known) {
    return false;
  }
  std::optional<fleet_config> newest;
  bool is_refused = false;
  // Only the newest version that can be read matters.
  auto record = page.records.rbegin();
  for (; record != page.records.rend(); ++record) {
    if (record->key != kConfigKey || !record->value) {
      continue;
    }
    try {
      newest = DecodeConfig(*record->value);
      break;
    } catch (const codec_error& failure) {
      is_refused = true;
      node_->log.Write("config_refused", {{"error", failure.what()}});
    }
  }
  const bool changed = newest && PutConfigInForce(std::move(*newest), source);
  if (is_refused || changed) {
    is_newest_refused_ = is_refused;
  }
  if (changed) {
    config_text_ = *record->value;
  }
  // Nodes that start get the version in force, whatever the store holds: it may
  // have been restored from an older copy, or hold one that can't be read.
  if (!config_text_.empty()) {
    keyed_page kept = page;
    kept.records = {{std::string(kConfigKey), config_text_}};
    node_->mirror.Take(kConfigTopic, kept);
  }
  return changed;
}

bool store_watch::PutConfigInForce(fleet_config config,
                                   std::string_view source) {
  const auto previous = node_->routes.Load();
  const config_version old_version = node_->ConfigVersion();
  const config_version version = config.version;
  if (previous && version <= old_version) {
    return false;
  }
  const size_t routes = config.routes.size();
  node_->Verify(!previous || version > old_version, invariant::kConfigForward,
                "");
  node_->routes.Store(std::make_shared<const route_index>(std::move(config)));
  node_->freshness.NoteVersion(version);
  const auto& teams = node_->routes.Load()->config().teams;
  node_->limits.SetTeams(teams ? std::span(*teams) : std::span<const team>(),
                         boot_clock::Now());
  node_->log.Write(
      "config_in_force",
      {{"version", version.value()},
       {"before", old_version.value()},
       {"routes", routes},
       {"source", source},
       {"behind_ms", config_.lag.BehindFor(boot_clock::Now()).count()}});
  return true;
}

}  // namespace peridotarch
