#ifndef FRONT_PEER_AHEAD_H_
#define FRONT_PEER_AHEAD_H_

#include <cstdint>
#include <string>

namespace peridotarch {

/// A node that knows newer records of the store than this one.
struct peer_ahead {
  std::string address;
  uint64_t config_version = 0;
  /// Offset of the last change to the instances that it knows.
  uint64_t instances_offset = 0;
  bool is_other_zone = false;
};

}  // namespace peridotarch

#endif  // FRONT_PEER_AHEAD_H_
