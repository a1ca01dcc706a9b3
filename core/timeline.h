#ifndef CORE_TIMELINE_H_
#define CORE_TIMELINE_H_

#include <array>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/hybrid_clock.h"
#include "core/names.h"

namespace peridotarch {

/// What changed in an event of the time line.
enum class event_kind {
  kStarted,
  kStopping,
  kRevisionInForce,
  kNodeJoined,
  kNodeSuspected,
  kNodeLeft,
  kOwnerChanged,
  kInstanceSuspected,
  kInstanceEjected,
  kInstanceReinstated,
  kInstanceLeaving,
  kFloorReached,
  kSelfDoubt,
  kLogAway,
  kLogBack,
};

template <>
struct names_of<event_kind> {
  static constexpr std::array<std::string_view, 15> kTable = {
      "started",           "stopping",
      "revision_in_force", "node_joined",
      "node_suspected",    "node_left",
      "owner_changed",     "instance_suspected",
      "instance_ejected",  "instance_reinstated",
      "instance_leaving",  "floor_reached",
      "self_doubt",        "log_away",
      "log_back"};
};

/// One change of state in one process.
struct event {
  hybrid_time at;
  std::string node;
  event_kind kind = event_kind::kStarted;
  std::string
      subject;  ///< The service, instance, node or revision that changed.
  std::string detail;  ///< The evidence, in a few words.
};

/// The latest events of this process, bounded in number.
class timeline {
 public:
  /// Keeps up to `capacity` events of the process called `node`.
  timeline(std::string node, size_t capacity);

  /// Adds an event stamped by the process's hybrid clock.
  void Add(millis wall, event_kind kind, std::string subject,
           std::string detail);

  /// Returns the kept events, oldest first.
  [[nodiscard]] std::vector<event> Events() const;

  /// Returns the clock that stamps the events, to be fed with the times of
  /// received messages.
  hybrid_clock& clock() { return clock_; }

 private:
  const std::string node_;
  const size_t capacity_;
  hybrid_clock clock_;
  mutable std::mutex mutex_;
  std::vector<event> ring_;
  size_t next_ = 0;
};

}  // namespace peridotarch

#endif  // CORE_TIMELINE_H_
