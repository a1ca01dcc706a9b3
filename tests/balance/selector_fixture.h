#ifndef TESTS_BALANCE_SELECTOR_FIXTURE_H_
#define TESTS_BALANCE_SELECTOR_FIXTURE_H_

#include <deque>
#include <string>
#include <vector>

#include "balance/instance_selector.h"

namespace peridotarch {

inline instance_entry MakeEntry(const std::string& id,
                                const std::string& service,
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

inline std::vector<instance_entry> MakeEntries(int count,
                                               const std::string& service) {
  std::vector<instance_entry> entries;
  for (int i = 0; i < count; ++i) {
    entries.push_back(MakeEntry(service + "-" + std::to_string(i), service));
  }
  return entries;
}

inline choice_request MakeRequest(std::string_view service,
                                  bool is_retryable = false, int priority = 0) {
  choice_request request;
  request.service = service;
  request.is_retryable = is_retryable;
  request.priority = priority;
  request.time_left = millis(1'200);
  request.objective = millis(600);
  return request;
}

/// The selectors of some nodes, all in zone "a".
class selector_fleet {
 public:
  explicit selector_fleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      selectors_.emplace_back("a", static_cast<uint64_t>(i + 1));
    }
    report_numbers_.resize(static_cast<size_t>(nodes));
  }

  void SetInstances(const std::vector<instance_entry>& entries, millis now) {
    for (instance_selector& selector : selectors_) {
      selector.SetInstances(entries, now);
    }
  }

  /// Delivers a report of node `from` to all other nodes.
  void Report(size_t from, millis now) {
    load_report report = selectors_[from].MakeReport(now);
    report.incarnation = 1;
    report.number = ++report_numbers_[from];
    for (size_t to = 0; to < selectors_.size(); ++to) {
      if (to != from) {
        selectors_[to].Apply("node-" + std::to_string(from), report, now);
      }
    }
  }

  instance_selector& operator[](size_t node) { return selectors_[node]; }
  [[nodiscard]] size_t size() const { return selectors_.size(); }

 private:
  std::deque<instance_selector> selectors_;
  std::vector<uint32_t> report_numbers_;
};

}  // namespace peridotarch

#endif  // TESTS_BALANCE_SELECTOR_FIXTURE_H_
