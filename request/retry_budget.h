#ifndef REQUEST_RETRY_BUDGET_H_
#define REQUEST_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace peridotarch {

/// Bounds the retries of a service at one entry node to a share of its
/// requests. Safe on any thread without a lock.
class retry_budget {
 public:
  /// Every request adds `percent` of a retry, up to `burst` retries saved.
  explicit retry_budget(int percent = 10, int burst = 10);

  /// Counts a request (its first attempt).
  void NoteRequest();

  /// Takes one retry from the budget; false when there is none.
  bool TakeRetry();

 private:
  const int64_t per_request_;
  const int64_t most_;
  std::atomic<int64_t> balance_;  ///< In hundredths of a retry.
};

}  // namespace peridotarch

#endif  // REQUEST_RETRY_BUDGET_H_
