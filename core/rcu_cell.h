#ifndef CORE_RCU_CELL_H_
#define CORE_RCU_CELL_H_

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#endif

namespace peridotarch {

/// A value that is read on every request and replaced seldom. Readers take no
/// lock: they copy a shared pointer inside a read-copy-update section and may
/// keep that snapshot across suspensions.
template <typename T>
class rcu_cell {
 public:
  using snapshot = std::shared_ptr<const T>;

  explicit rcu_cell(snapshot first)
      : current_(new snapshot(std::move(first))) {}
  rcu_cell(const rcu_cell&) = delete;
  rcu_cell& operator=(const rcu_cell&) = delete;
  ~rcu_cell() { delete current_.load(); }

  /// Returns the value in force; safe on any thread.
  [[nodiscard]] snapshot Load() const {
    urcu_bp_read_lock();
    snapshot copy = *current_.load(std::memory_order_acquire);
    ReleaseToWriter();
    urcu_bp_read_unlock();
    return copy;
  }

  /// Replaces the value and waits until no reader still copies the old one.
  void Store(snapshot next) {
    const std::lock_guard lock(writers_);
    auto* fresh = new snapshot(std::move(next));
    auto* old = current_.exchange(fresh, std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    AcquireFromReaders();
    delete old;
  }

 private:
  // The library's barriers are invisible to ThreadSanitizer; these tell it of
  // the grace period.
#if defined(__SANITIZE_THREAD__)
  void ReleaseToWriter() const {
    __tsan_release(const_cast<std::atomic<snapshot*>*>(&current_));
  }
  void AcquireFromReaders() { __tsan_acquire(&current_); }
#else
  void ReleaseToWriter() const {}
  void AcquireFromReaders() {}
#endif

  std::atomic<snapshot*> current_;
  std::mutex writers_;
};

}  // namespace peridotarch

#endif  // CORE_RCU_CELL_H_
