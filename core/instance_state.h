#ifndef CORE_INSTANCE_STATE_H_
#define CORE_INSTANCE_STATE_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// What the owner of a shard holds of an instance, and how it schedules it.
enum class instance_state {
  kOpen,       ///< Takes work.
  kCold,       ///< Has just started: takes a little at first; no capacity yet.
  kSuspect,    ///< Takes work when no other instance can.
  kProbation,  ///< Ejected, but gets a trickle of idempotent work.
  kEjected,    ///< Takes no work.
  kLeaving,    ///< Takes no new work, ever, in this incarnation.
};

template <>
struct names_of<instance_state> {
  static constexpr std::array<std::string_view, 6> kTable = {
      "open", "cold", "suspect", "probation", "ejected", "leaving"};
};

}  // namespace peridotarch

#endif  // CORE_INSTANCE_STATE_H_
