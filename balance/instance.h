#ifndef BALANCE_INSTANCE_H_
#define BALANCE_INSTANCE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// What an instance publishes about itself in service discovery.
struct instance_entry {
  std::string id;
  std::string service;
  std::string address;
  uint16_t port = 0;
  std::string zone;
  int slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;
  millis warmup_left;      ///< How long it stays slow from now on.
  int64_t started_at = 0;  ///< Wall clock of its start in ms; 0: unknown.
  int64_t sequence = 0;    ///< Increases with each update since the start.

  bool operator==(const instance_entry&) const = default;
};

/// What the end of an attempt shows about the instance.
enum class attempt_outcome {
  kOk,           ///< A complete answer without a server error.
  kFailed,       ///< A complete answer with a server error.
  kBroken,       ///< No usable answer: reset, truncated or malformed.
  kSlow,         ///< Far slower than usual, whether it has ended or not.
  kShed,         ///< Load shedding: it refused and did not run the request.
  kUnreachable,  ///< No connection was established.
  kMoved,        ///< Another instance now has this address.
  kUnknown,      ///< Shows nothing, such as an attempt this node cancelled.
  kLeaving,      ///< The instance said that it is leaving; only in reports.
};

template <>
struct names_of<attempt_outcome> {
  static constexpr std::array<std::string_view, 9> kTable = {
      "ok",          "failed", "broken",  "slow",   "shed",
      "unreachable", "moved",  "unknown", "leaving"};
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_H_
