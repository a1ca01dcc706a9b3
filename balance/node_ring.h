#ifndef BALANCE_NODE_RING_H_
#define BALANCE_NODE_RING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotarch {

/// Returns the position of the item with this rank among `count` items that are
/// spread evenly on a ring of length 1.
double RingPosition(size_t rank, size_t count);

/// The part of the ring that uses one instance: the nodes there send it
/// requests and tell each other at once of those that they begin.
struct home_range {
  double position = 0;
  double half_width = 0.5;  ///< 0.5: the whole ring.

  /// Returns whether a node at this position uses the instance.
  [[nodiscard]] bool Contains(double node_position) const;
};

/// Returns the range of the instance with this rank among the `instances` of
/// its service and availability zone, which has `nodes` nodes. Each node uses
/// about kHomeInstances of them, and each instance is used by two nodes or
/// more.
home_range HomeRangeOf(size_t rank, size_t instances, size_t nodes);

/// Instances of one service and zone that a node prefers.
inline constexpr size_t kHomeInstances = 24;

/// The live nodes of one availability zone in a ring. Every node computes it
/// from the reports that it has heard; a node more or less shifts the others
/// by less than one place.
class node_ring {
 public:
  /// Replaces the nodes. `own` and `others` are node keys.
  void Set(uint32_t own, std::vector<uint32_t> others);

  /// Returns the position of a node; one that is not in the ring gets that of
  /// the next one.
  [[nodiscard]] double PositionOf(uint32_t key) const;
  [[nodiscard]] size_t size() const { return keys_.size(); }

 private:
  std::vector<uint32_t> keys_;  ///< In ascending order.
};

}  // namespace peridotarch

#endif  // BALANCE_NODE_RING_H_
