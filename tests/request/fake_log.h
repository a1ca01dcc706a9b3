#ifndef TESTS_REQUEST_FAKE_LOG_H_
#define TESTS_REQUEST_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "core/millis.h"
#include "platform/append_log.h"

namespace peridotarch {

/// The platform's log for one stream, in memory.
class fake_log {
 public:
  /// Adds a record and returns its offset.
  uint64_t Append(const std::string& data, millis wall) {
    records_.push_back({records_.size(), wall, data});
    return records_.size() - 1;
  }

  /// Returns the page that a replica lagging by `lag` records would return.
  [[nodiscard]] log_page Read(uint64_t from, uint64_t lag = 0) const {
    log_page page;
    const uint64_t size = records_.size();
    page.next = size - std::min(lag, size);
    page.first = std::min(first_, page.next);
    for (uint64_t i = std::max(from, page.first); i < page.next; ++i) {
      page.records.push_back(records_[i]);
    }
    return page;
  }

  /// Drops the records before this time.
  void Retain(millis since) {
    while (first_ < records_.size() && records_[first_].appended_at < since) {
      ++first_;
    }
  }

  [[nodiscard]] size_t size() const { return records_.size(); }

 private:
  std::vector<log_record> records_;
  uint64_t first_ = 0;
};

}  // namespace peridotarch

#endif  // TESTS_REQUEST_FAKE_LOG_H_
