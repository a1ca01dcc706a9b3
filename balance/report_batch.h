#ifndef BALANCE_REPORT_BATCH_H_
#define BALANCE_REPORT_BATCH_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

/// Joins encoded load reports into as few datagrams as fit in a packet each.
std::vector<std::string> JoinReports(std::span<const std::string> reports);

/// Returns the encoded reports in a datagram, which may be a single report.
/// Throws codec_error if a report is cut short.
std::vector<std::string_view> SplitReports(std::string_view datagram);

}  // namespace peridotarch

#endif  // BALANCE_REPORT_BATCH_H_
