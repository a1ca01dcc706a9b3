#ifndef REQUEST_CALL_INFO_H_
#define REQUEST_CALL_INFO_H_

#include <string>

#include "core/millis.h"

namespace peridotarch {

/// What the owner's scheduler needs to know about an attempt.
struct call_info {
  millis deadline;   ///< On the same clock as `now`.
  std::string zone;  ///< Zone to prefer among equally good instances.
  bool idempotent = false;
  std::string excluded_instance;  ///< Where an earlier attempt failed, if any.
};

}  // namespace peridotarch

#endif  // REQUEST_CALL_INFO_H_
