#ifndef DETECTION_EJECTION_RECORD_H_
#define DETECTION_EJECTION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/hash.h"
#include "core/millis.h"

namespace peridotarch {

/// The right of one process to keep one instance out, until a wall-clock time.
struct ejection_lease {
  std::string instance;
  uint64_t incarnation = 0;  ///< Of the instance.
  std::string holder;        ///< The process that may act on it.
  millis since;              ///< Wall clock of the ejection.
  millis until;              ///< Wall clock when the lease ends.
  bool active = true;  ///< False once given up by another than the holder.
  std::string reason;  ///< The evidence, in a few words.

  bool operator==(const ejection_lease&) const = default;
};

/// The right of one process to eject instances of its choice without the log,
/// up to a number of slots, until a wall-clock time.
struct ejection_allowance {
  std::string holder;
  int slots = 0;
  millis until;

  bool operator==(const ejection_allowance&) const = default;
};

/// One record of the log's stream `ejections`: the whole state of a service's
/// ejections after it.
struct ejection_record {
  std::string service;
  digest base{};          ///< Digest of the record that it follows.
  uint64_t sequence = 1;  ///< One above that of its base.
  std::string proposer;   ///< The process that appended it.
  int floor = 0;          ///< The service's floor in slots.
  int slots = 1;          ///< Slots per instance.
  /// Ids of the live, warm instances that are not leaving, as the proposer saw
  /// them.
  std::vector<std::string> capacity_instances;
  std::vector<ejection_lease> leases;
  std::vector<ejection_allowance> allowances;
};

/// Name of the log's stream of ejection records.
inline constexpr std::string_view kEjectionStream = "ejections";

/// Encodes a record as MessagePack.
std::string Encode(const ejection_record& record);

/// Decodes a record; throws codec_error when it is malformed.
ejection_record DecodeEjection(std::string_view bytes);

}  // namespace peridotarch

#endif  // DETECTION_EJECTION_RECORD_H_
