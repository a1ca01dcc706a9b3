#ifndef REQUEST_CALL_INFO_H_
#define REQUEST_CALL_INFO_H_

#include <string>

#include "core/millis.h"

namespace peridotarch {

/// What the owner's scheduler needs to know of an attempt.
struct call_info {
  millis deadline;   ///< On the clock of `now`.
  std::string zone;  ///< Zone to prefer among instances that are equal.
  bool idempotent = false;
  std::string
      excluded_instance;  ///< Instance that an earlier attempt failed at.
};

}  // namespace peridotarch

#endif  // REQUEST_CALL_INFO_H_
