#ifndef FRONT_ANSWER_MEMORY_H_
#define FRONT_ANSWER_MEMORY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace peridotarch {

class answer_reservation;

/// Bounds the memory, in bytes, of the bodies of answers on one node, from
/// their first byte until they are written to their callers. While they take
/// more than the limit, the largest one that is still being read is dropped.
class answer_memory {
 public:
  explicit answer_memory(uint64_t limit) : limit_(limit) {}

  [[nodiscard]] uint64_t limit() const { return limit_; }
  [[nodiscard]] uint64_t in_use() const { return in_use_; }
  /// Returns the most that was in use after bodies were dropped.
  [[nodiscard]] uint64_t peak() const { return peak_; }
  /// Returns the most that was in use, with the body that is then dropped.
  [[nodiscard]] uint64_t peak_before_drops() const {
    return peak_before_drops_;
  }

 private:
  friend class answer_reservation;

  void Resize(answer_reservation& body, uint64_t bytes);
  void Remove(answer_reservation& body);
  void DropLargest();

  const uint64_t limit_;
  uint64_t in_use_ = 0;
  uint64_t peak_ = 0;
  uint64_t peak_before_drops_ = 0;
  std::vector<answer_reservation*> in_read_;
};

/// The part of one body. It ends with this object.
class answer_reservation {
 public:
  /// Calls `drop` if the body has to be dropped while another one grows.
  answer_reservation(std::shared_ptr<answer_memory> memory,
                     std::function<void()> drop);
  ~answer_reservation();
  answer_reservation(const answer_reservation&) = delete;
  answer_reservation& operator=(const answer_reservation&) = delete;

  /// Sets the size of the body. Returns false if the body has to be dropped.
  bool Resize(uint64_t bytes);
  /// The body is whole, and is not dropped any more.
  void Complete();
  [[nodiscard]] bool is_dropped() const { return is_dropped_; }

 private:
  friend class answer_memory;

  const std::shared_ptr<answer_memory> memory_;
  std::function<void()> drop_;
  uint64_t bytes_ = 0;
  bool is_dropped_ = false;
};

}  // namespace peridotarch

#endif  // FRONT_ANSWER_MEMORY_H_
