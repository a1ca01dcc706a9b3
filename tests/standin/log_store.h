#ifndef STANDIN_LOG_STORE_H_
#define STANDIN_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/millis.h"
#include "platform/append_log.h"

namespace peridotarch::standin {

/// Bounds on what a stream keeps.
struct retention {
  size_t count = 100'000;
  millis age = millis(86'400'000);
};

/// One record as the checker sees it: also those that have expired.
struct kept_record {
  uint64_t epoch = 0;  ///< Rises with each reset of the log.
  log_record record;
};

/// Streams of records with offsets and bounded retention.
class log_store {
 public:
  explicit log_store(retention bounds) : bounds_(bounds) {}

  /// Appends and returns the offset.
  uint64_t Append(const std::string& stream, std::string data, millis now);

  /// Reads as of `behind` records ago.
  log_page Read(const std::string& stream, uint64_t from, size_t max,
                uint64_t behind, millis now);

  /// Forgets every record; offsets start from 0 again.
  void Reset();

  void SetRetention(retention bounds) { bounds_ = bounds; }

  /// Returns everything that was ever appended to `stream`.
  const std::vector<kept_record>& History(const std::string& stream) {
    return history_[stream];
  }

 private:
  struct one_stream {
    uint64_t next = 0;
    std::deque<log_record> records;
  };

  void Expire(one_stream& stream, millis now) const;

  retention bounds_;
  uint64_t epoch_ = 0;
  std::map<std::string, one_stream> streams_;
  std::map<std::string, std::vector<kept_record>> history_;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_LOG_STORE_H_
