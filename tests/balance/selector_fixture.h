#ifndef TESTS_BALANCE_SELECTOR_FIXTURE_H_
#define TESTS_BALANCE_SELECTOR_FIXTURE_H_

#include <deque>
#include <string>
#include <vector>

#include "balance/instance_selector.h"

namespace peridotarch {

inline instance_entry Entry(const std::string& id, const std::string& service,
                            const std::string& zone = "a", int slots = 3) {
  instance_entry entry;
  entry.id = id;
  entry.service = service;
  entry.address = "127.0.0.1";
  entry.port = 1;
  entry.zone = zone;
  entry.slots = slots;
  entry.started_at = 1;
  return entry;
}

inline std::vector<instance_entry> Entries(int count,
                                           const std::string& service) {
  std::vector<instance_entry> entries;
  for (int i = 0; i < count; ++i) {
    entries.push_back(Entry(service + "-" + std::to_string(i), service));
  }
  return entries;
}

inline choice_request Call(std::string_view service, bool is_retryable = false,
                           int priority = 0) {
  choice_request call;
  call.service = service;
  call.is_retryable = is_retryable;
  call.priority = priority;
  call.time_left = millis(1'200);
  call.objective = millis(600);
  return call;
}

/// A few nodes that hear each other's reports at once unless cut off.
class selector_fleet {
 public:
  explicit selector_fleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      boards_.emplace_back("a", static_cast<uint64_t>(i + 1));
    }
    numbers_.resize(static_cast<size_t>(nodes));
  }

  void SetInstances(const std::vector<instance_entry>& entries, millis now) {
    for (instance_selector& board : boards_) {
      board.SetInstances(entries, now);
    }
  }

  /// Node `from` tells all others.
  void Report(size_t from, millis now) {
    load_report report = boards_[from].MakeReport(now);
    report.incarnation = 1;
    report.number = ++numbers_[from];
    for (size_t to = 0; to < boards_.size(); ++to) {
      if (to != from) {
        boards_[to].Apply("node-" + std::to_string(from), report, now);
      }
    }
  }

  instance_selector& operator[](size_t node) { return boards_[node]; }
  [[nodiscard]] size_t size() const { return boards_.size(); }

 private:
  std::deque<instance_selector> boards_;
  std::vector<uint32_t> numbers_;
};

}  // namespace peridotarch

#endif  // TESTS_BALANCE_SELECTOR_FIXTURE_H_
