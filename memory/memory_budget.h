#ifndef MEMORY_MEMORY_BUDGET_H_
#define MEMORY_MEMORY_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

class memory_reservation;

/// What memory is held for.
enum class memory_kind {
  kRequest,  ///< Requests of callers, from their first byte.
  kAnswer,   ///< Answers of instances, until they are written.
};

template <>
struct names_of<memory_kind> {
  static constexpr std::array<std::string_view, 2> kTable = {"request",
                                                             "answer"};
};

/// Limits in bytes.
struct memory_limits {
  uint64_t total = 0;
  uint64_t answers = 0;  ///< The part of `total` that answers may take.
};

/// Returns the part of `memory_bytes` that answers may take by default.
uint64_t UsualAnswerBytes(uint64_t memory_bytes);

/// Returns the limits of a process that may take `memory_bytes` in all, where
/// answers may take `answer_bytes`.
memory_limits LimitsFor(uint64_t memory_bytes, uint64_t answer_bytes);

/// Returns how many connections of callers may be open, from the limits on what
/// they send.
size_t ConnectionsFor(const memory_limits& limits);

/// Returns long bodies to the system when they are freed. By default, freed
/// memory of their size would be kept beside that in use.
void ReturnFreedMemory();

/// Returns how many accepted connections a process may have that may open
/// `most` descriptors, and no more than the system allows it.
size_t ConnectionsForDescriptors(uint64_t most);

/// Bounds the memory that one process holds for its callers and instances.
/// While it is short, the incomplete holder that has most is ended, first among
/// those that make no progress. Complete holders stay. Safe on any thread.
class memory_budget {
 public:
  explicit memory_budget(memory_limits limits) : limits_(limits) {}

  [[nodiscard]] const memory_limits& limits() const { return limits_; }
  [[nodiscard]] uint64_t in_use() const;
  [[nodiscard]] uint64_t in_use(memory_kind kind) const;
  /// Returns the most that was in use after holders were ended.
  [[nodiscard]] uint64_t peak() const;
  /// Returns the most that was in use, with the holder that is then ended.
  [[nodiscard]] uint64_t peak_before_ends() const;
  /// Returns whether the answers held and expected leave room for one of
  /// `bytes`. A usual, small one always has room.
  [[nodiscard]] bool HasRoomForAnswer(uint64_t bytes) const;

 private:
  friend class memory_reservation;

  /// What holders do when they are ended. They run without the lock.
  using end_list = std::vector<std::function<void()>>;

  // All of these are called with the lock.
  [[nodiscard]] uint64_t BytesOf(memory_kind kind) const {
    return by_kind_[static_cast<size_t>(kind)];
  }
  [[nodiscard]] bool IsShort() const {
    return in_use_ > limits_.total || AreAnswersShort();
  }
  [[nodiscard]] bool AreAnswersShort() const {
    return BytesOf(memory_kind::kAnswer) > limits_.answers;
  }
  void SetBytes(memory_reservation& holder, uint64_t bytes);
  void SetExpected(memory_reservation& holder, uint64_t bytes);
  end_list Resize(memory_reservation& holder, uint64_t bytes, millis now);
  end_list MakeRoom(memory_reservation& growing, millis now);
  [[nodiscard]] memory_reservation* FindVictim(millis now) const;
  void End(memory_reservation& holder, end_list& ends);
  void AddIncomplete(memory_reservation& holder);
  void RemoveIncomplete(memory_reservation& holder);

  const memory_limits limits_;
  mutable std::mutex mutex_;
  uint64_t in_use_ = 0;
  std::array<uint64_t, names_of<memory_kind>::kTable.size()> by_kind_{};
  uint64_t expected_ = 0;  ///< Of answers that have not arrived.
  uint64_t peak_ = 0;
  uint64_t peak_before_ends_ = 0;
  std::vector<memory_reservation*> incomplete_;
};

/// The part of one holder, which uses it on one thread at a time. It is given
/// back when this object ends.
class memory_reservation {
 public:
  /// Calls `end` if the holder has to be ended while another one grows, on the
  /// thread of that one. It may be called after the holder's end.
  memory_reservation(std::shared_ptr<memory_budget> budget, memory_kind kind,
                     std::function<void()> end, millis now = millis(0));
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// Sets the size of the holder. Returns false if the holder has to end; it
  /// then holds nothing.
  bool Resize(uint64_t bytes, millis now = millis(0));
  /// The holder will grow to about this size; new answers leave room for it.
  void Expect(uint64_t bytes);
  /// Records that bytes of the other side have arrived.
  void NoteProgress(uint64_t bytes, millis now);
  /// The holder is whole, and is not ended any more. Returns false if it was
  /// ended before.
  bool Complete();
  [[nodiscard]] bool is_ended() const { return is_ended_; }
  [[nodiscard]] uint64_t bytes() const;
  [[nodiscard]] memory_kind kind() const { return kind_; }

 private:
  friend class memory_budget;

  [[nodiscard]] uint64_t MissingBytes() const {
    return expected_ > bytes_ ? expected_ - bytes_ : 0;
  }

  const std::shared_ptr<memory_budget> budget_;
  const memory_kind kind_;
  std::function<void()> end_;
  uint64_t bytes_ = 0;
  uint64_t expected_ = 0;
  uint64_t unmarked_bytes_ = 0;  ///< Since `progress_at_`.
  millis progress_at_;
  size_t position_ = 0;  ///< In the budget's list, while `is_listed_`.
  bool is_listed_ = false;
  std::atomic<bool> is_ended_ = false;
};

}  // namespace peridotarch

#endif  // MEMORY_MEMORY_BUDGET_H_
