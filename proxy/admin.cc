#include "proxy/admin.h"

#include <nlohmann/json.hpp>
#include <string>

#include "core/error.h"
#include "core/hash.h"
#include "inner/report.h"
#include "inner/rpc/rpc_error.h"
#include "inner/rpc/rpc_server.h"
#include "platform/base64.h"
#include "proxy/control.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"

namespace peridotarch {

namespace {

using nlohmann::json;

constexpr int kHexBase = 16;

digest DigestFromHex(const std::string& text) {
  digest value;
  if (text.size() != value.size() * 2) {
    throw codec_error("a digest has 64 hexadecimal digits");
  }
  for (size_t i = 0; i < value.size(); ++i) {
    value[i] = static_cast<uint8_t>(
        std::stoi(text.substr(2 * i, 2), nullptr, kHexBase));
  }
  return value;
}

std::string ConfigHead(const control& loops) {
  const revision_id& id = loops.config().in_force().id;
  return json{{"number", id.number}, {"chain", ToHex(id.chain)}}.dump();
}

std::string ConfigFetch(const control& loops, const std::string& params) {
  try {
    const json asked = json::parse(params);
    revision_id have;
    have.number = asked.at("number").get<uint64_t>();
    have.chain = DigestFromHex(asked.at("chain").get<std::string>());
    return json{{"bytes", ToBase64(loops.config().AnswerFetch(have))}}.dump();
  } catch (const std::exception& malformed) {
    throw rpc_error(rpc_error::kInvalidParams, malformed.what());
  }
}

node_status Status(const node& here, const control& loops) {
  const revision_id& id = loops.config().in_force().id;
  node_status status;
  status.node = here.settings.node;
  status.zone = here.settings.zone;
  status.incarnation = here.incarnation;
  status.revision = id.number;
  status.digest = ToHex(id.chain);
  status.doubts_itself = here.doubts.load();
  status.log_reachable = !loops.log_away();
  for (const member& known : loops.fleet().Members()) {
    ++status.members;
    if (known.record.state == member_state::kSuspect) {
      status.suspects.push_back(known.record.id);
    }
  }
  const auto fleet = here.fleet.Load();
  for (const auto& shard : here.owners.All()) {
    if (IsOwnedHere(*fleet, shard->service(), shard->index())) {
      status.shards.push_back(shard->Status());
    }
  }
  return status;
}

}  // namespace

std::unique_ptr<rpc_server> MakeAdmin(node& here, control& loops) {
  auto methods = std::make_unique<rpc_server>();
  methods->Register("config_head",
                    [&loops](const std::string&) { return ConfigHead(loops); });
  methods->Register("config_fetch", [&loops](const std::string& params) {
    return ConfigFetch(loops, params);
  });
  methods->Register("status", [&here, &loops](const std::string&) {
    node_status status = Status(here, loops);
    status.at = here.events.clock().Next(wall_clock::Now());
    return EncodeStatus(status);
  });
  methods->Register("timeline", [&here](const std::string& params) {
    return EncodeEvents(here.events.Events(),
                        DecodeTimelineQuery(params).since);
  });
  return methods;
}

}  // namespace peridotarch
