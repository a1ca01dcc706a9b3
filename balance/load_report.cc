#include "balance/load_report.h"

#include <algorithm>

#include "core/error.h"
#include "core/fields.h"
#include "core/hash.h"

namespace peridotarch {

namespace {

constexpr size_t kChecksumBytes = 4;
constexpr int64_t kMaxAgeMs = 60'000;
constexpr uint8_t kLeavingFlag = 1;
constexpr uint8_t kReadsStoreFlag = 2;
constexpr uint8_t kRelayFlag = 4;
constexpr uint8_t kUpperHalvesFlag = 8;
constexpr int kHalfBits = 32;
constexpr size_t kUpperHalves = 2;
constexpr size_t kMaxEntries = UINT8_MAX;

// Nodes of an older version refuse a report with an outcome that they do not
// know, and ignore kUnknown, which is not reported otherwise.
constexpr auto kLeavingCode = static_cast<uint8_t>(attempt_outcome::kUnknown);

void PutOutcome(std::string& body, const outcome_entry& entry) {
  const bool is_leaving = entry.outcome == attempt_outcome::kLeaving;
  const auto age = static_cast<uint16_t>(
      std::clamp<int64_t>(entry.age.count(), 0, kMaxAgeMs));
  PutField(body, entry.instance);
  PutField(body,
           is_leaving ? kLeavingCode : static_cast<uint8_t>(entry.outcome));
  PutField(body, is_leaving ? entry.start : age);
}

outcome_entry TakeOutcome(field_reader& fields, uint32_t number) {
  outcome_entry entry;
  entry.number = number;
  entry.instance = fields.Take<uint32_t>();
  const auto code = fields.Take<uint8_t>();
  const auto value = fields.Take<uint16_t>();
  if (code > kLeavingCode) {
    throw codec_error("load report has an unknown outcome");
  }
  if (code == kLeavingCode) {
    entry.outcome = attempt_outcome::kLeaving;
    entry.start = value;
  } else {
    entry.outcome = static_cast<attempt_outcome>(code);
    entry.age = millis(value);
  }
  return entry;
}

// A keyed checksum rejects damaged datagrams and those of other fleets. A full
// signature on each of some hundred datagrams a second would cost more than it
// is worth, since a report is only a hint about load.
uint32_t ChecksumOf(std::string_view body, std::string_view fleet_key) {
  return static_cast<uint32_t>(Hash64(body, Hash64(fleet_key)));
}

uint32_t LowerHalf(uint64_t number) {
  return static_cast<uint32_t>(number & UINT32_MAX);
}

uint32_t UpperHalf(uint64_t number) {
  return static_cast<uint32_t>(number >> kHalfBits);
}

uint64_t Joined(uint32_t upper, uint64_t lower) {
  return uint64_t{upper} << kHalfBits | lower;
}

bool HasUpperHalves(const load_report& report) {
  return UpperHalf(report.config_version.value()) != 0 ||
         UpperHalf(report.instances_offset.value()) != 0;
}

// The entries of the load as they are sent. Numbers above 2^32 have their upper
// halves in two entries more, without requests in flight: a process of an older
// version reads them as the load of two instances that it does not know.
std::vector<load_entry> LoadToSend(const load_report& report) {
  std::vector<load_entry> load = report.load;
  const size_t reserved = HasUpperHalves(report) ? kUpperHalves : 0;
  load.resize(std::min(load.size(), kMaxEntries - reserved));
  if (reserved > 0) {
    load.push_back({UpperHalf(report.config_version.value()), 0});
    load.push_back({UpperHalf(report.instances_offset.value()), 0});
  }
  return load;
}

// The entries of the usage as they are sent. What is left out is not counted at
// the peers, so it is the services with the fewest retries.
std::vector<retry_usage> UsageToSend(const load_report& report) {
  std::vector<retry_usage> usage = report.usage;
  if (usage.size() > kMaxEntries) {
    std::stable_sort(usage.begin(), usage.end(),
                     [](const retry_usage& left, const retry_usage& right) {
                       return left.retries > right.retries;
                     });
    usage.resize(kMaxEntries);
  }
  return usage;
}

void TakeUpperHalves(load_report& report) {
  if (report.load.size() < kUpperHalves) {
    throw codec_error("load report lacks upper halves of its numbers");
  }
  const auto take = [&report](uint64_t lower) {
    const uint32_t upper = report.load.back().instance;
    report.load.pop_back();
    return Joined(upper, lower);
  };
  report.instances_offset = take(report.instances_offset.value());
  report.config_version = take(report.config_version.value());
}

}  // namespace

instance_key KeyOf(std::string_view instance_id) {
  return static_cast<instance_key>(Hash64(instance_id));
}

uint16_t StartKeyOf(int64_t started_at) {
  return static_cast<uint16_t>(started_at);
}

uint16_t ZoneKeyOf(std::string_view zone) {
  return static_cast<uint16_t>(Hash64(zone));
}

uint32_t NodeKeyOf(std::string_view address) {
  return static_cast<uint32_t>(Hash64(address)) | 1;
}

// A busy node makes 2^32 reports within months, and the difference of two
// numbers that are near each other is right across the end.
bool IsLater(uint32_t number, uint32_t other) {
  return number != other && number - other <= INT32_MAX;
}

// Fixed-width big-endian numbers keep a report of a few entries below a hundred
// bytes. Every byte crosses zones thousands of times a second.
std::string Encode(const load_report& report, std::string_view fleet_key) {
  const bool has_upper_halves = HasUpperHalves(report);
  const std::vector<load_entry> load = LoadToSend(report);
  const std::vector<retry_usage> usage = UsageToSend(report);
  std::string body;
  PutField(body, report.incarnation);
  PutField(body, report.number);
  PutField(body, LowerHalf(report.config_version.value()));
  PutField(body, LowerHalf(report.instances_offset.value()));
  PutField(body, report.zone);
  PutField(body,
           static_cast<uint8_t>((report.leaving ? kLeavingFlag : 0) |
                                (report.reads_store ? kReadsStoreFlag : 0) |
                                (report.relay_for != 0 ? kRelayFlag : 0) |
                                (has_upper_halves ? kUpperHalvesFlag : 0)));
  if (report.relay_for != 0) {
    PutField(body, report.relay_for);
  }
  PutField(body, static_cast<uint8_t>(load.size()));
  for (const load_entry& entry : load) {
    PutField(body, entry.instance);
    PutField(body, entry.in_flight);
  }
  PutField(body, static_cast<uint8_t>(usage.size()));
  for (const retry_usage& entry : usage) {
    PutField(body, entry.service);
    PutField(body, entry.requests);
    PutField(body, entry.retries);
  }
  if (!report.outcomes.empty()) {
    PutField(body, report.outcomes.front().number);
  }
  for (const outcome_entry& entry : report.outcomes) {
    PutOutcome(body, entry);
  }
  PutField(body, ChecksumOf(body, fleet_key));
  return body;
}

load_report DecodeLoadReport(std::string_view datagram,
                             std::string_view fleet_key) {
  if (datagram.size() < kChecksumBytes) {
    throw codec_error("load report is cut short");
  }
  const std::string_view body =
      datagram.substr(0, datagram.size() - kChecksumBytes);
  field_reader checksum(datagram.substr(body.size()));
  if (checksum.Take<uint32_t>() != ChecksumOf(body, fleet_key)) {
    throw codec_error("load report is damaged or from another fleet");
  }
  field_reader fields(body);
  load_report report;
  report.incarnation = fields.Take<uint32_t>();
  report.number = fields.Take<uint32_t>();
  report.config_version = fields.Take<uint32_t>();
  report.instances_offset = fields.Take<uint32_t>();
  report.zone = fields.Take<uint16_t>();
  const auto flags = fields.Take<uint8_t>();
  report.leaving = (flags & kLeavingFlag) != 0;
  report.reads_store = (flags & kReadsStoreFlag) != 0;
  if ((flags & kRelayFlag) != 0) {
    report.relay_for = fields.Take<uint32_t>();
  }
  report.load.resize(fields.Take<uint8_t>());
  for (load_entry& entry : report.load) {
    entry.instance = fields.Take<uint32_t>();
    entry.in_flight = fields.Take<uint8_t>();
  }
  if ((flags & kUpperHalvesFlag) != 0) {
    TakeUpperHalves(report);
  }
  report.usage.resize(fields.Take<uint8_t>());
  for (retry_usage& entry : report.usage) {
    entry.service = fields.Take<uint32_t>();
    entry.requests = fields.Take<uint16_t>();
    entry.retries = fields.Take<uint16_t>();
  }
  uint32_t number = fields.empty() ? 0 : fields.Take<uint32_t>();
  while (!fields.empty()) {
    report.outcomes.push_back(TakeOutcome(fields, number++));
  }
  return report;
}

}  // namespace peridotarch
