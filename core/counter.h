#ifndef CORE_COUNTER_H_
#define CORE_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace peridotarch {

/// A number that only rises; safe on any thread.
class counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] uint64_t Value() const {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<uint64_t> value_ = 0;
};

}  // namespace peridotarch

#endif  // CORE_COUNTER_H_
