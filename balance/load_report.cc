#include "balance/load_report.h"

#include <algorithm>
#include <concepts>

#include "core/error.h"
#include "core/hash.h"

namespace peridotarch {

namespace {

constexpr size_t kChecksumBytes = 4;
constexpr int64_t kMaxAgeMs = 60'000;
constexpr int kByteBits = 8;
constexpr uint8_t kLeavingFlag = 1;
constexpr uint8_t kReadsStoreFlag = 2;
constexpr uint8_t kRelayFlag = 4;

// Fixed-width big-endian numbers keep a report of a few entries below a hundred
// bytes. Every byte crosses zones thousands of times a second.
template <std::unsigned_integral T>
void Put(std::string& out, T value) {
  for (int shift = (sizeof(T) - 1) * kByteBits; shift >= 0;
       shift -= kByteBits) {
    out.push_back(static_cast<char>(value >> shift));
  }
}

class field_reader {
 public:
  explicit field_reader(std::string_view text) : rest_(text) {}

  template <std::unsigned_integral T>
  T Take() {
    if (rest_.size() < sizeof(T)) {
      throw codec_error("load report is cut short");
    }
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof(T); ++i) {
      value = value << kByteBits | static_cast<uint8_t>(rest_[i]);
    }
    rest_.remove_prefix(sizeof(T));
    return static_cast<T>(value);
  }

  [[nodiscard]] bool empty() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

// A keyed checksum rejects damaged datagrams and those of other fleets. A full
// signature on each of some hundred datagrams a second would cost more than it
// is worth, since a report is only a hint about load.
uint32_t ChecksumOf(std::string_view body, std::string_view fleet_key) {
  return static_cast<uint32_t>(Hash64(body, Hash64(fleet_key)));
}

}  // namespace

instance_key KeyOf(std::string_view instance_id) {
  return static_cast<instance_key>(Hash64(instance_id));
}

uint16_t ZoneKeyOf(std::string_view zone) {
  return static_cast<uint16_t>(Hash64(zone));
}

uint32_t NodeKeyOf(std::string_view address) {
  return static_cast<uint32_t>(Hash64(address)) | 1;
}

std::string Encode(const load_report& report, std::string_view fleet_key) {
  std::string body;
  Put(body, report.incarnation);
  Put(body, report.number);
  Put(body, report.config_version);
  Put(body, report.instances_offset);
  Put(body, report.zone);
  Put(body, static_cast<uint8_t>((report.leaving ? kLeavingFlag : 0) |
                                 (report.reads_store ? kReadsStoreFlag : 0) |
                                 (report.relay_for != 0 ? kRelayFlag : 0)));
  if (report.relay_for != 0) {
    Put(body, report.relay_for);
  }
  Put(body, static_cast<uint8_t>(report.load.size()));
  for (const load_entry& entry : report.load) {
    Put(body, entry.instance);
    Put(body, entry.in_flight);
  }
  Put(body, static_cast<uint8_t>(report.usage.size()));
  for (const retry_usage& entry : report.usage) {
    Put(body, entry.service);
    Put(body, entry.requests);
    Put(body, entry.retries);
  }
  if (!report.outcomes.empty()) {
    Put(body, report.outcomes.front().number);
  }
  for (const outcome_entry& entry : report.outcomes) {
    Put(body, entry.instance);
    Put(body, static_cast<uint8_t>(entry.outcome));
    Put(body, static_cast<uint16_t>(
                  std::clamp<int64_t>(entry.age.count(), 0, kMaxAgeMs)));
  }
  Put(body, ChecksumOf(body, fleet_key));
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
  report.usage.resize(fields.Take<uint8_t>());
  for (retry_usage& entry : report.usage) {
    entry.service = fields.Take<uint32_t>();
    entry.requests = fields.Take<uint16_t>();
    entry.retries = fields.Take<uint16_t>();
  }
  uint32_t number = fields.empty() ? 0 : fields.Take<uint32_t>();
  while (!fields.empty()) {
    outcome_entry entry;
    entry.number = number++;
    entry.instance = fields.Take<uint32_t>();
    const auto outcome = fields.Take<uint8_t>();
    if (outcome >= names_of<attempt_outcome>::kTable.size()) {
      throw codec_error("load report has an unknown outcome");
    }
    entry.outcome = static_cast<attempt_outcome>(outcome);
    entry.age = millis(fields.Take<uint16_t>());
    report.outcomes.push_back(entry);
  }
  return report;
}

}  // namespace peridotarch
