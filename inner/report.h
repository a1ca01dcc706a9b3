#ifndef INNER_REPORT_H_
#define INNER_REPORT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/hybrid_clock.h"
#include "core/instance_state.h"
#include "core/millis.h"
#include "core/names.h"
#include "core/timeline.h"

namespace peridotarch {

/// One instance, reported by the owner of its shard.
struct instance_status {
  std::string id;
  std::string zone;
  instance_state state = instance_state::kOpen;
  std::string reason;  ///< Why it is not open: the evidence, in a few words.
  int slots = 0;
  int busy = 0;  ///< Slots in use.

  bool operator==(const instance_status&) const = default;
};

/// One shard of a service, reported by the node that owns it.
struct shard_status {
  std::string service;
  int shard = 0;
  int shards = 1;  ///< Number of shards of the service.
  int floor = 0;   ///< Of the whole service, in slots.
  int queued = 0;  ///< Requests that wait for a slot.
  std::vector<instance_status> instances;

  bool operator==(const shard_status&) const = default;
};

/// The result of the method `status`.
struct node_status {
  std::string node;
  std::string zone;
  uint64_t incarnation = 0;
  hybrid_time at;
  uint64_t revision = 0;  ///< Number of the revision in force.
  std::string digest;     ///< Its digest, in hexadecimal.
  int members = 0;        ///< Live nodes that it sees, itself included.
  bool doubts_itself = false;
  std::vector<std::string> suspects;  ///< Nodes that it suspects.
  bool log_reachable = true;
  std::vector<shard_status> shards;  ///< Those that it owns.

  bool operator==(const node_status&) const = default;
};

/// Encodes as a JSON object.
std::string EncodeStatus(const node_status& status);

/// Decodes what EncodeStatus gives; throws codec_error.
node_status DecodeStatus(const std::string& json);

/// The parameters of the method `timeline`.
struct timeline_query {
  millis since;  ///< Wall clock; events before it are left out.
};

std::string EncodeTimelineQuery(const timeline_query& query);

/// Decodes the parameters; throws codec_error.
timeline_query DecodeTimelineQuery(const std::string& json);

/// Encodes the events at or after `since` as a JSON array, the result of the
/// method `timeline`.
std::string EncodeEvents(const std::vector<event>& events,
                         millis since = millis());

/// Decodes what EncodeEvents gives; throws codec_error.
std::vector<event> DecodeEvents(const std::string& json);

}  // namespace peridotarch

#endif  // INNER_REPORT_H_
