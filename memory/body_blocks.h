#ifndef MEMORY_BODY_BLOCKS_H_
#define MEMORY_BODY_BLOCKS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "core/millis.h"
#include "memory/memory_budget.h"

namespace peridotarch {

/// The body of a request, held once in blocks that count for a reservation.
/// Growing adds a block and copies nothing.
class body_blocks {
 public:
  /// Blocks of a body without a reservation are not counted.
  explicit body_blocks(std::shared_ptr<memory_reservation> reservation = {});

  /// Returns space for at most `wanted` bytes (above 0), or none if the
  /// reservation has ended.
  std::span<char> Prepare(uint64_t wanted, millis now);
  /// The first `bytes` of the prepared space were filled.
  void Commit(size_t bytes, millis now);
  /// Copies the first bytes of the `left` ones that the body still lacks; it
  /// may be more than that if the length is not known. Returns false if the
  /// reservation has ended.
  bool Append(std::span<const char> bytes, uint64_t left, millis now);
  /// Sets what the request holds beside its body, in bytes. Returns false if
  /// the reservation has ended.
  bool SetHeadBytes(uint64_t bytes, millis now);
  /// Sets how many bytes were received for the request and not read yet.
  /// Returns false if the reservation has ended.
  bool SetUnreadBytes(uint64_t bytes, millis now);
  /// The body is whole.
  void Complete();

  [[nodiscard]] uint64_t size() const { return size_; }
  [[nodiscard]] size_t blocks() const { return blocks_.size(); }
  [[nodiscard]] std::span<const char> Block(size_t index) const;

 private:
  struct block {
    std::unique_ptr<char[]> bytes;
    size_t capacity = 0;
    size_t filled = 0;
  };

  bool AddBlock(uint64_t wanted, millis now);
  bool Charge(uint64_t bytes, millis now);

  const std::shared_ptr<memory_reservation> reservation_;
  std::vector<block> blocks_;
  uint64_t size_ = 0;
  uint64_t capacity_ = 0;
  uint64_t head_bytes_ = 0;
  uint64_t unread_bytes_ = 0;
};

}  // namespace peridotarch

#endif  // MEMORY_BODY_BLOCKS_H_
