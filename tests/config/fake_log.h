#ifndef TESTS_CONFIG_FAKE_LOG_H_
#define TESTS_CONFIG_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "platform/append_log.h"

namespace peridotarch {

/// An in-memory log with the faults of the platform's log.
class fake_log {
 public:
  bool is_unreachable = false;
  uint64_t stale_by = 0;  ///< Reads miss this many of the latest records.

  uint64_t Append(const std::string& data, millis now) {
    records_.push_back({next_, now, data});
    return next_++;
  }

  [[nodiscard]] log_page Read(uint64_t from) const {
    constexpr size_t kMaxPage = 64;
    log_page page{
        first_, std::max(first_, next_ - std::min(stale_by, next_)), {}};
    for (const log_record& record : records_) {
      if (record.offset >= from && record.offset < page.next &&
          page.records.size() < kMaxPage) {
        page.records.push_back(record);
      }
    }
    return page;
  }

  /// Drops all but the latest `kept` records, as retention does.
  void Trim(size_t kept) {
    const size_t drop = records_.size() - std::min(kept, records_.size());
    records_.erase(records_.begin(),
                   records_.begin() + static_cast<std::ptrdiff_t>(drop));
    first_ = records_.empty() ? next_ : records_.front().offset;
  }

  /// Drops the latest `lost` records; their offsets are assigned again.
  void DropLatest(size_t lost) {
    records_.resize(records_.size() - std::min(lost, records_.size()));
    next_ = records_.empty() ? first_ : records_.back().offset + 1;
  }

  /// Drops all records and starts again at offset 0.
  void ResetToEmpty() {
    records_.clear();
    first_ = next_ = 0;
  }

  [[nodiscard]] uint64_t next() const { return next_; }
  [[nodiscard]] size_t size() const { return records_.size(); }

 private:
  uint64_t first_ = 0;
  uint64_t next_ = 0;
  std::vector<log_record> records_;
};

}  // namespace peridotarch

#endif  // TESTS_CONFIG_FAKE_LOG_H_
