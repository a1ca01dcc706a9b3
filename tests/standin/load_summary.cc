#include "standin/load_summary.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridotarch::standin {
namespace {

int64_t Quantile(const std::vector<int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

}  // namespace

void load_summary::Add(const load_record& record) {
  ++sends_;
  requests_ += record.tag == record.family ? 1 : 0;
  ++results_[std::string(ToName(record.result))];
  ++verdicts_[record.verdict.empty() ? "none" : record.verdict];
  ++statuses_[record.status];
  if (!record.reason.empty()) {
    ++reasons_[record.reason];
  }
  if (record.result == load_result::kWhole) {
    latencies_.push_back(record.latency_us);
  }
}

nlohmann::json load_summary::ToJson() const {
  std::vector<int64_t> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  nlohmann::json statuses;
  for (const auto& [status, count] : statuses_) {
    statuses[std::to_string(status)] = count;
  }
  return {{"sends", sends_},
          {"requests", requests_},
          {"results", results_},
          {"verdicts", verdicts_},
          {"reasons", reasons_},
          {"statuses", statuses},
          {"latency_us",
           {{"p50", Quantile(sorted, 0.5)},
            {"p90", Quantile(sorted, 0.9)},
            {"p99", Quantile(sorted, 0.99)},
            {"p999", Quantile(sorted, 0.999)},
            {"max", Quantile(sorted, 1)}}}};
}

}  // namespace peridotarch::standin
