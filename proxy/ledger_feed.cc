#include "proxy/ledger_feed.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

void ledger_feed::Add(log_record record) {
  const std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
  if (records_.size() > kKept) {
    records_.pop_front();
    ++first_;
  }
}

std::vector<log_record> ledger_feed::Take(uint64_t* next) const {
  const std::lock_guard lock(mutex_);
  const uint64_t from = std::max(*next, first_);
  *next = first_ + records_.size();
  return {records_.begin() + static_cast<ptrdiff_t>(from - first_),
          records_.end()};
}

void ledger_feed::SetAway(bool away) {
  const std::lock_guard lock(mutex_);
  away_ = away;
}

bool ledger_feed::Away() const {
  const std::lock_guard lock(mutex_);
  return away_;
}

}  // namespace peridotarch
