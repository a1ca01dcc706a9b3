#ifndef TEAMS_LIMIT_BOUNDS_H_
#define TEAMS_LIMIT_BOUNDS_H_

#include "core/millis.h"

namespace peridotarch {

/// How the fleet's requests of one team are counted against its limit.
struct limit_bounds {
  millis window = millis(5'000);  ///< Any span of this length counts.
  double overage = 0.1;  ///< Part of the limit that may be run beyond it.
  double slack = 20;     ///< Requests that may be run beyond that.
};

}  // namespace peridotarch

#endif  // TEAMS_LIMIT_BOUNDS_H_
