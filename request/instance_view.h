#ifndef REQUEST_INSTANCE_VIEW_H_
#define REQUEST_INSTANCE_VIEW_H_

#include <array>
#include <string>
#include <string_view>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// What the fleet holds of an instance.
enum class instance_state {
  kOpen,       ///< Takes work.
  kCold,       ///< Has just started; its slots open step by step.
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

/// An instance of the shard's service as the owner's other parts see it.
struct instance_view {
  std::string id;
  std::string zone;
  int slots = 1;
  instance_state state = instance_state::kOpen;
  millis since;  ///< When it became cold; unused in other states.
};

}  // namespace peridotarch

#endif  // REQUEST_INSTANCE_VIEW_H_
