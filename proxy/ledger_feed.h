#ifndef PROXY_LEDGER_FEED_H_
#define PROXY_LEDGER_FEED_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

#include "platform/append_log.h"

namespace peridotarch {

/// The latest records of the stream of ejections, from the control loop that
/// reads them to the shards, which take them in their own time. Safe on any
/// thread; not used on a request's path.
class ledger_feed {
 public:
  /// Adds a record read from the log.
  void Add(log_record record);

  /// Returns the kept records from number `*next` on and moves it past them.
  std::vector<log_record> Take(uint64_t* next) const;

  /// Says whether the log is away; until it was read to its end it is.
  void SetAway(bool away);
  [[nodiscard]] bool Away() const;

 private:
  static constexpr size_t kKept = 4096;

  mutable std::mutex mutex_;
  std::deque<log_record> records_;
  uint64_t first_ = 0;  ///< Number of the oldest kept record.
  bool away_ = true;
};

}  // namespace peridotarch

#endif  // PROXY_LEDGER_FEED_H_
