#ifndef REQUEST_INSTANCE_VIEW_H_
#define REQUEST_INSTANCE_VIEW_H_

#include <string>

#include "core/instance_state.h"
#include "core/millis.h"

namespace peridotarch {

/// What the owner knows about an instance of the shard's service.
struct instance_view {
  std::string id;
  std::string zone;
  int slots = 1;
  instance_state state = instance_state::kOpen;
  millis since;  ///< When the instance became cold; unused in other states.
};

}  // namespace peridotarch

#endif  // REQUEST_INSTANCE_VIEW_H_
