#include "inner/report.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "core/error.h"
#include "inner/json_number.h"

namespace peridotarch {

namespace {

using nlohmann::json;

template <typename Enum>
Enum EnumFrom(const json& value) {
  const auto found = FromName<Enum>(value.get<std::string>());
  if (!found) {
    throw codec_error("unknown name " + value.dump());
  }
  return *found;
}

json ToJson(const hybrid_time& at) {
  return {{"wall_ms", at.wall.count()}, {"counter", at.counter}};
}

hybrid_time HybridTimeFrom(const json& value) {
  return {millis(IntegerAt<int64_t>(value, "wall_ms")),
          IntegerAt<uint32_t>(value, "counter")};
}

json ToJson(const instance_status& of) {
  return {
      {"id", of.id},       {"zone", of.zone},     {"state", ToName(of.state)},
      {"slots", of.slots}, {"reason", of.reason}, {"busy", of.busy}};
}

instance_status InstanceFrom(const json& value) {
  instance_status of;
  of.id = value.at("id").get<std::string>();
  of.zone = value.at("zone").get<std::string>();
  of.state = EnumFrom<instance_state>(value.at("state"));
  of.reason = value.at("reason").get<std::string>();
  of.slots = IntegerAt<int>(value, "slots");
  of.busy = IntegerAt<int>(value, "busy");
  return of;
}

json ToJson(const shard_status& of) {
  json instances = json::array();
  for (const instance_status& each : of.instances) {
    instances.push_back(ToJson(each));
  }
  return {{"service", of.service}, {"shard", of.shard},
          {"shards", of.shards},   {"floor", of.floor},
          {"queued", of.queued},   {"instances", std::move(instances)}};
}

shard_status ShardFrom(const json& value) {
  shard_status of;
  of.service = value.at("service").get<std::string>();
  of.shard = IntegerAt<int>(value, "shard");
  of.shards = IntegerAt<int>(value, "shards");
  of.floor = IntegerAt<int>(value, "floor");
  of.queued = IntegerAt<int>(value, "queued");
  for (const json& each : value.at("instances")) {
    of.instances.push_back(InstanceFrom(each));
  }
  return of;
}

node_status StatusFrom(const json& value) {
  node_status of;
  of.node = value.at("node").get<std::string>();
  of.zone = value.at("zone").get<std::string>();
  of.incarnation = IntegerAt<uint64_t>(value, "incarnation");
  of.at = HybridTimeFrom(value.at("at"));
  of.revision = IntegerAt<uint64_t>(value, "revision");
  of.digest = value.at("digest").get<std::string>();
  of.members = IntegerAt<int>(value, "members");
  of.doubts_itself = value.at("doubts_itself").get<bool>();
  of.suspects = value.at("suspects").get<std::vector<std::string>>();
  of.log_reachable = value.at("log_reachable").get<bool>();
  for (const json& each : value.at("shards")) {
    of.shards.push_back(ShardFrom(each));
  }
  return of;
}

event EventFrom(const json& value) {
  event of;
  of.at = HybridTimeFrom(value.at("at"));
  of.node = value.at("node").get<std::string>();
  of.kind = EnumFrom<event_kind>(value.at("kind"));
  of.subject = value.at("subject").get<std::string>();
  of.detail = value.at("detail").get<std::string>();
  return of;
}

// Parses and maps every failure of the JSON library to ours.
template <typename Decode>
auto Decoded(const std::string& text, Decode decode) {
  try {
    return decode(json::parse(text));
  } catch (const json::exception& failure) {
    throw codec_error(std::string("malformed report: ") + failure.what());
  }
}

// Texts from the network may hold bytes that are no UTF-8; they are replaced.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeStatus(const node_status& status) {
  json shards = json::array();
  for (const shard_status& each : status.shards) {
    shards.push_back(ToJson(each));
  }
  return Dump({{"node", status.node},
               {"zone", status.zone},
               {"incarnation", status.incarnation},
               {"at", ToJson(status.at)},
               {"revision", status.revision},
               {"digest", status.digest},
               {"members", status.members},
               {"doubts_itself", status.doubts_itself},
               {"suspects", status.suspects},
               {"log_reachable", status.log_reachable},
               {"shards", std::move(shards)}});
}

node_status DecodeStatus(const std::string& json) {
  return Decoded(json, StatusFrom);
}

std::string EncodeTimelineQuery(const timeline_query& query) {
  return Dump({{"since_ms", query.since.count()}});
}

timeline_query DecodeTimelineQuery(const std::string& json) {
  return Decoded(json, [](const nlohmann::json& value) {
    return timeline_query{millis(IntegerAt<int64_t>(value, "since_ms"))};
  });
}

std::string EncodeEvents(const std::vector<event>& events, millis since) {
  json all = json::array();
  for (const event& each : events) {
    if (each.at.wall < since) {
      continue;
    }
    all.push_back({{"at", ToJson(each.at)},
                   {"node", each.node},
                   {"kind", ToName(each.kind)},
                   {"subject", each.subject},
                   {"detail", each.detail}});
  }
  return Dump(all);
}

std::vector<event> DecodeEvents(const std::string& json) {
  return Decoded(json, [](const nlohmann::json& value) {
    if (!value.is_array()) {
      throw codec_error("malformed report: events are no array");
    }
    std::vector<event> events;
    for (const nlohmann::json& each : value) {
      events.push_back(EventFrom(each));
    }
    return events;
  });
}

}  // namespace peridotarch
