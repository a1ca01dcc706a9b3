#ifndef BALANCE_RECORD_LAG_H_
#define BALANCE_RECORD_LAG_H_

#include <deque>
#include <optional>

#include "core/millis.h"
#include "core/store_count.h"

namespace peridotarch {

/// Tracks for how long this node has been behind its peers in one kind of the
/// store's records. A position only rises: a version, or an offset in the
/// store.
class record_lag {
 public:
  /// Notes that a peer knows the records up to `position`.
  void NoteAnnounced(topic_position position, millis now);
  /// Notes that this node knows the records up to `position`.
  void NoteKnown(topic_position position);
  /// Notes a successful read of the store that began at `began_at`. It returned
  /// all records that existed then, so what was announced before and is still
  /// missing does not exist, and is ignored if it is announced again.
  void NoteStoreRead(millis began_at);

  /// Returns when a peer first announced the oldest record that this node
  /// lacks; none if it lacks none.
  [[nodiscard]] std::optional<millis> BehindSince() const;
  /// Returns for how long this node has been behind, 0 if it is not.
  [[nodiscard]] millis BehindFor(millis now) const;
  /// Returns whether it has been behind for so long that it should no longer
  /// rely on its peers.
  [[nodiscard]] bool IsOverdue(millis now) const;

 private:
  struct announcement {
    topic_position position;
    millis first_heard_at;
  };

  topic_position known_;
  topic_position absent_;             ///< Announced, but not in the store.
  std::deque<announcement> missing_;  ///< By rising position and time.
};

}  // namespace peridotarch

#endif  // BALANCE_RECORD_LAG_H_
