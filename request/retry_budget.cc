#include "request/retry_budget.h"

#include <algorithm>

namespace peridotarch {

namespace {

constexpr int64_t kOneRetry = 100;  // In hundredths of a retry.

}  // namespace

retry_budget::retry_budget(int percent, int burst)
    : per_request_(percent),
      max_balance_(burst * kOneRetry),
      balance_(max_balance_) {}

// A full balance is the common case and costs one read of a shared cache line.
void retry_budget::NoteRequest() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < max_balance_) {
    const int64_t next = std::min(balance + per_request_, max_balance_);
    if (balance_.compare_exchange_weak(balance, next,
                                       std::memory_order_relaxed)) {
      return;
    }
  }
}

bool retry_budget::TakeRetry() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kOneRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kOneRetry,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace peridotarch
