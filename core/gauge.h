#ifndef CORE_GAUGE_H_
#define CORE_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace peridotarch {

/// A number that rises and falls; safe on any thread.
class gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] int64_t Value() const {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<int64_t> value_ = 0;
};

}  // namespace peridotarch

#endif  // CORE_GAUGE_H_
