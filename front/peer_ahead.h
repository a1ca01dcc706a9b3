#ifndef FRONT_PEER_AHEAD_H_
#define FRONT_PEER_AHEAD_H_

#include <string>

#include "core/store_count.h"

namespace peridotarch {

/// A node that knows newer records of the store than this one.
struct peer_ahead {
  std::string address;
  peridotarch::config_version config_version;
  /// Offset of the last change to the instances that it knows.
  record_offset instances_offset;
  bool is_other_zone = false;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_AHEAD_H_
