#ifndef REQUEST_RETRY_BUDGET_H_
#define REQUEST_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace peridotarch {

/// Limits the retries of a service at one entry node to a share of its
/// requests. Thread-safe and lock-free.
class retry_budget {
 public:
  /// Every request adds `percent` of a retry, up to a balance of `burst`
  /// retries.
  explicit retry_budget(int percent = 10, int burst = 10);

  /// Counts a request (its first attempt).
  void NoteRequest();

  /// Takes one retry from the budget; returns false if there is none.
  bool TakeRetry();

 private:
  const int64_t per_request_;
  const int64_t max_balance_;
  std::atomic<int64_t> balance_;  ///< In hundredths of a retry.
};

}  // namespace peridotarch

#endif  // REQUEST_RETRY_BUDGET_H_
