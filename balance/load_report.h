#ifndef BALANCE_LOAD_REPORT_H_
#define BALANCE_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

/// Short name of an instance in reports.
using instance_key = uint32_t;

/// Returns the key of an instance id.
instance_key KeyOf(std::string_view instance_id);

/// Returns the key of an availability zone.
uint16_t ZoneKeyOf(std::string_view zone);

/// Returns the key of a node by the address that its reports come from.
uint32_t NodeKeyOf(std::string_view address);

/// The requests that one node has in flight at an instance.
struct load_entry {
  instance_key instance = 0;
  uint8_t in_flight = 0;

  bool operator==(const load_entry&) const = default;
};

/// One attempt that ended, or that is out for too long.
struct outcome_entry {
  uint32_t number = 0;  ///< Rises by one with each outcome of the node.
  instance_key instance = 0;
  attempt_outcome outcome = attempt_outcome::kOk;
  millis work;  ///< Of the instance for it alone, at most a minute.

  bool operator==(const outcome_entry&) const = default;
};

/// The requests for a service that one node took in the retry window, and the
/// repeated sends among them.
struct retry_usage {
  uint32_t service = 0;  ///< Key of the service's name.
  uint16_t requests = 0;
  uint16_t retries = 0;

  bool operator==(const retry_usage&) const = default;
};

/// What a node tells its peers: its whole load and its latest outcomes. Each
/// report repeats outcomes of the ones before it, so a lost one does no harm.
struct load_report {
  uint32_t incarnation = 0;  ///< Of the sending process; later is higher.
  uint32_t number = 0;       ///< Rises with each report of the process.
  uint32_t config_version = 0;
  uint32_t instances_offset = 0;  ///< Of the entries that the sender knows.
  uint16_t zone = 0;              ///< Key of the sender's availability zone.
  uint32_t relay_for = 0;  ///< Node key of the sender; 0: not to be passed on.
  bool leaving = false;    ///< The process is shutting down.
  bool reads_store = false;  ///< Its last read of the store succeeded.
  std::vector<load_entry> load;
  std::vector<retry_usage> usage;
  std::vector<outcome_entry> outcomes;  ///< Numbered without a gap.

  bool operator==(const load_report&) const = default;
};

/// Returns the report as a datagram under the fleet's key.
std::string Encode(const load_report& report, std::string_view fleet_key);

/// Reads a datagram; throws codec_error if it is malformed or was not made
/// with the fleet's key.
load_report DecodeLoadReport(std::string_view datagram,
                             std::string_view fleet_key);

}  // namespace peridotarch

#endif  // BALANCE_LOAD_REPORT_H_
