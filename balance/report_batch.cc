#include "balance/report_batch.h"

#include <cstdint>

#include "core/fields.h"

namespace peridotarch {

namespace {

// Layout of a batch: marker (4) | for each report: length (2), report. A report
// begins with its incarnation, which is never equal to the marker: it counts
// units of 16 ms and stays below it for a long time.
constexpr std::string_view kMarker = "\xff\xff\xff\xff";
constexpr size_t kMaxBatchBytes = 1'200;  // below the usual packet size

}  // namespace

// Processes of an older version read single reports only.
std::vector<std::string> JoinReports(std::span<const std::string> reports) {
  if (reports.size() == 1) {
    return {reports.front()};
  }
  std::vector<std::string> batches;
  for (const std::string& report : reports) {
    const auto length = static_cast<uint16_t>(report.size());
    const size_t needed = sizeof(length) + report.size();
    if (batches.empty() || batches.back().size() + needed > kMaxBatchBytes) {
      batches.emplace_back(kMarker);
    }
    PutField(batches.back(), length);
    batches.back() += report;
  }
  return batches;
}

std::vector<std::string_view> SplitReports(std::string_view datagram) {
  if (!datagram.starts_with(kMarker)) {
    return {datagram};
  }
  field_reader fields(datagram.substr(kMarker.size()));
  std::vector<std::string_view> reports;
  while (!fields.empty()) {
    reports.push_back(fields.TakeBytes(fields.Take<uint16_t>()));
  }
  return reports;
}

}  // namespace peridotarch
