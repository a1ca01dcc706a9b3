#include "balance/read_schedule.h"

#include <algorithm>

namespace peridotarch {

namespace {

// A read that waits does not show whether the store is reachable, and the nodes
// that rely on it have to know a change two seconds after the store has it. The
// rest of that time is for another node to take over, to read, and to pass the
// change on. After a pause the read waits only for what is left of the time.
constexpr millis kMaxReadWait(900);
// Beyond the wait. The answers of a slow store still arrive within it.
constexpr millis kMaxAnswerDelay(350);
// A store that refuses every other read is not asked all the time.
constexpr millis kMinRepeatInterval(2'000);

}  // namespace

read_times read_schedule::Begin(millis max_wait, millis now) {
  began_at_ = now;
  times_.wait = state_ == read_state::kCurrent
                    ? std::min(max_wait, kMaxReadWait - PauseAfterAnswer())
                    : millis(0);
  times_.timeout =
      is_current() ? times_.wait + kMaxAnswerDelay : kStoreCallTimeout;
  return times_;
}

void read_schedule::NoteAnswered(bool has_records) {
  state_ = read_state::kCurrent;
  had_records_ = has_records;
}

// A read that was refused at once leaves time for another one before the others
// have to look for another reader. One that is overdue does not.
bool read_schedule::NoteFailed(millis now) {
  const bool was_current = state_ == read_state::kCurrent;
  const bool is_early = now - began_at_ <= times_.wait;
  state_ = read_state::kUnknown;
  if (!was_current || !is_early) {
    return was_current;
  }
  if (repeated_at_ && now - *repeated_at_ < kMinRepeatInterval) {
    return false;
  }
  repeated_at_ = now;
  state_ = read_state::kAsksAgain;
  return true;
}

millis read_schedule::PauseAfterAnswer() const {
  return had_records_ ? pause_ : millis(0);
}

}  // namespace peridotarch
