#ifndef BALANCE_READ_SCHEDULE_H_
#define BALANCE_READ_SCHEDULE_H_

#include <optional>

#include "core/millis.h"

namespace peridotarch {

/// Time for a call to the store.
inline constexpr millis kStoreCallTimeout(700);

/// How long a read of the store waits for a change, and when it has failed.
struct read_times {
  millis wait;
  millis timeout;  ///< From the begin of the read; includes the wait.
};

/// When a node reads a topic of the store, and whether other nodes may rely on
/// it for that topic: only while its last read has succeeded and the next one
/// is not overdue.
class read_schedule {
 public:
  /// `pause` follows a read that has brought records.
  explicit read_schedule(millis pause) : pause_(pause) {}

  /// A read begins. It waits for a change, for `max_wait` at most, if the last
  /// one has succeeded.
  read_times Begin(millis max_wait, millis now);
  /// The read has succeeded.
  void NoteAnswered(bool has_records);
  /// The read has failed. Returns whether the next one should begin at once, on
  /// a new connection: only the old one may be dead.
  bool NoteFailed(millis now);
  /// The node leaves the reads to others.
  void NoteDelegated() { state_ = read_state::kUnknown; }

  /// Returns whether others may rely on this node for the topic.
  [[nodiscard]] bool is_current() const {
    return state_ != read_state::kUnknown;
  }
  /// Returns the pause after a read that has succeeded.
  [[nodiscard]] millis PauseAfterAnswer() const;

 private:
  enum class read_state {
    kUnknown,  ///< The last read has failed, or is long ago.
    kCurrent,  ///< The last read has succeeded.
    /// The last read was refused while it waited, and the next one follows at
    /// once.
    kAsksAgain,
  };

  const millis pause_;
  read_state state_ = read_state::kUnknown;
  read_times times_;  ///< Of the last read.
  millis began_at_;
  std::optional<millis> repeated_at_;  ///< When a refused read was repeated.
  bool had_records_ = false;           ///< The last read has brought records.
};

}  // namespace peridotarch

#endif  // BALANCE_READ_SCHEDULE_H_
