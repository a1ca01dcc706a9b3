#ifndef CORE_INSTANCE_STATE_H_
#define CORE_INSTANCE_STATE_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// What the fleet holds of an instance, and how the owner's scheduler treats
/// it.
enum class instance_state {
  kOpen,       ///< Takes work.
  kCold,       ///< Has just started; its slots open step by step and are no
               ///< capacity yet.
  kSuspect,    ///< Takes work last, and a trickle of idempotent work.
  kProbation,  ///< Ejected, but gets a trickle of idempotent work.
  kEjected,    ///< Takes no work.
  kLeaving,    ///< Takes no new work, ever, in this incarnation.
};

template <>
struct names_of<instance_state> {
  static constexpr std::array<std::string_view, 6> kTable = {
      "open", "cold", "suspect", "probation", "ejected", "leaving"};
};

/// Returns whether the slots of an instance in this state count as healthy
/// capacity.
constexpr bool CountsAsCapacity(instance_state state) {
  return state == instance_state::kOpen || state == instance_state::kSuspect;
}

}  // namespace peridotarch

#endif  // CORE_INSTANCE_STATE_H_
