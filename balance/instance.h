#ifndef BALANCE_INSTANCE_H_
#define BALANCE_INSTANCE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// What an instance says of itself in service discovery.
struct instance_entry {
  std::string id;
  std::string service;
  std::string address;
  uint16_t port = 0;
  std::string zone;
  int slots = 1;
  bool draining = false;
  millis warmup_left;      ///< How long it stays slow after its start.
  int64_t started_at = 0;  ///< Wall clock of its start in ms; 0: not said.
  int64_t sequence = 0;    ///< Rises with each word of one start.
};

/// How an attempt at an instance ended, as evidence about the instance.
enum class attempt_outcome {
  kOk,           ///< A whole answer that is no failure.
  kFailed,       ///< A whole answer with a failure of the instance's own.
  kBroken,       ///< No usable answer: reset, cut short, malformed.
  kSlow,         ///< Out for far longer than usual, ended or not.
  kShed,         ///< The instance had no room; it did not run the request.
  kUnreachable,  ///< No connection was established.
  kMoved,        ///< Another instance has the address.
  kUnknown,      ///< Ended by this side: says nothing of the instance.
};

template <>
struct names_of<attempt_outcome> {
  static constexpr std::array<std::string_view, 8> kTable = {
      "ok",   "failed",      "broken", "slow",
      "shed", "unreachable", "moved",  "unknown"};
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_H_
