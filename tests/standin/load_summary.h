#ifndef STANDIN_LOAD_SUMMARY_H_
#define STANDIN_LOAD_SUMMARY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "standin/load_record.h"

namespace peridotarch::standin {

/// Counts and latencies of a run.
class load_summary {
 public:
  void Add(const load_record& record);

  /// Returns the counts and the percentiles of the latency of whole answers
  /// in microseconds, from the intended start.
  [[nodiscard]] nlohmann::json ToJson() const;

 private:
  uint64_t sends_ = 0;
  uint64_t requests_ = 0;  ///< First sends.
  std::map<std::string, uint64_t> results_;
  std::map<std::string, uint64_t> verdicts_;
  std::map<std::string, uint64_t> reasons_;
  std::map<unsigned, uint64_t> statuses_;
  std::vector<int64_t> latencies_;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_LOAD_SUMMARY_H_
