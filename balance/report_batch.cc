#include "balance/report_batch.h"

#include <cstdint>

#include "core/error.h"

namespace peridotarch {

namespace {

// Layout of a batch: marker (4) | for each report: length (2), report. A report
// begins with its incarnation, which is never equal to the marker: it counts
// units of 16 ms and stays below it for a long time.
constexpr std::string_view kMarker = "\xff\xff\xff\xff";
constexpr size_t kLengthBytes = 2;
constexpr size_t kMaxBatchBytes = 1'200;  // below the usual packet size
constexpr int kByteBits = 8;

void AppendReport(std::string& batch, std::string_view report) {
  batch.push_back(static_cast<char>(report.size() >> kByteBits));
  batch.push_back(static_cast<char>(report.size()));
  batch += report;
}

std::string_view TakeReport(std::string_view& rest) {
  if (rest.size() < kLengthBytes) {
    throw codec_error("batch of reports is cut short");
  }
  const size_t size = static_cast<size_t>(static_cast<uint8_t>(rest[0]))
                          << kByteBits |
                      static_cast<uint8_t>(rest[1]);
  rest.remove_prefix(kLengthBytes);
  if (rest.size() < size) {
    throw codec_error("batch of reports is cut short");
  }
  const std::string_view report = rest.substr(0, size);
  rest.remove_prefix(size);
  return report;
}

}  // namespace

// Processes of an older version read single reports only.
std::vector<std::string> JoinReports(std::span<const std::string> reports) {
  if (reports.size() == 1) {
    return {reports.front()};
  }
  std::vector<std::string> batches;
  for (const std::string& report : reports) {
    const size_t needed = kLengthBytes + report.size();
    if (batches.empty() || batches.back().size() + needed > kMaxBatchBytes) {
      batches.emplace_back(kMarker);
    }
    AppendReport(batches.back(), report);
  }
  return batches;
}

std::vector<std::string_view> SplitReports(std::string_view datagram) {
  if (!datagram.starts_with(kMarker)) {
    return {datagram};
  }
  std::string_view rest = datagram.substr(kMarker.size());
  std::vector<std::string_view> reports;
  while (!rest.empty()) {
    reports.push_back(TakeReport(rest));
  }
  return reports;
}

}  // namespace peridotarch
