#ifndef BALANCE_LOAD_REPORT_H_
#define BALANCE_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "balance/instance.h"
#include "core/millis.h"
#include "core/store_count.h"

namespace peridotarch {

/// Short identifier of an instance in reports, a hash of its id.
using instance_key = uint32_t;

/// Returns the key of an instance id or of a service name.
instance_key KeyOf(std::string_view instance_id);

/// Returns the key of an availability zone.
uint16_t ZoneKeyOf(std::string_view zone);

/// Returns the key of the node whose reports come from `address`; never 0.
uint32_t NodeKeyOf(std::string_view address);

/// Returns a number that differs between most starts of an instance.
uint16_t StartKeyOf(int64_t started_at);

/// Returns whether a report or an outcome came after another one of the same
/// process. The numbers go on from 0 after the largest.
bool IsLater(uint32_t number, uint32_t other);

/// The requests that one node has in flight at one instance.
struct load_entry {
  instance_key instance = 0;
  uint8_t in_flight = 0;

  bool operator==(const load_entry&) const = default;
};

/// The outcome of an attempt that ended, or that is slow and still in flight.
struct outcome_entry {
  uint32_t number = 0;  ///< Increases by one with each outcome, see IsLater.
  instance_key instance = 0;
  attempt_outcome outcome = attempt_outcome::kOk;
  millis age;  ///< Time from the outcome to the report, at most a minute.
  uint16_t start = 0;  ///< For kLeaving, instead of the age: the start's key.

  bool operator==(const outcome_entry&) const = default;
};

/// The requests for one service that a node received in the retry window, and
/// the retries that it sent.
struct retry_usage {
  uint32_t service = 0;  ///< Key of the service's name.
  uint16_t requests = 0;
  uint16_t retries = 0;

  bool operator==(const retry_usage&) const = default;
};

/// What a node reports to its peers: its complete load and its latest outcomes.
/// Each report repeats outcomes of earlier ones, so a lost one does no harm.
struct load_report {
  uint32_t incarnation = 0;  ///< Increases with most starts of the sender.
  uint32_t number = 0;       ///< Increases with each report, see IsLater.
  /// Of the configuration that the sender has in force.
  peridotarch::config_version config_version;
  /// Offset of the last change to the instances that the sender knows.
  record_offset instances_offset;
  uint16_t zone = 0;         ///< Key of the sender's availability zone.
  uint32_t relay_for = 0;    ///< Key of the sender; 0: not to be relayed.
  bool leaving = false;      ///< The process is shutting down.
  bool reads_store = false;  ///< Its last read of the store succeeded.
  std::vector<load_entry> load;
  std::vector<retry_usage> usage;
  std::vector<outcome_entry> outcomes;  ///< Numbered without gaps.

  bool operator==(const load_report&) const = default;
};

/// Returns the report as a datagram with a checksum keyed by `fleet_key`.
std::string Encode(const load_report& report, std::string_view fleet_key);

/// Decodes a datagram. Throws codec_error if it is malformed or its checksum is
/// wrong for `fleet_key`.
load_report DecodeLoadReport(std::string_view datagram,
                             std::string_view fleet_key);

}  // namespace peridotarch

#endif  // BALANCE_LOAD_REPORT_H_
