#ifndef DETECTION_EJECTION_RECORD_H_
#define DETECTION_EJECTION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/hash.h"
#include "core/millis.h"

namespace peridotarch {

/// One process's right to keep one instance ejected until a wall-clock time.
struct ejection_lease {
  std::string instance;
  uint64_t incarnation = 0;  ///< Incarnation of the instance.
  std::string holder;        ///< The process that may eject the instance.
  millis since;              ///< Wall-clock time of the ejection.
  millis until;              ///< Wall-clock time when the lease ends.
  /// False once a process other than the holder has revoked the lease.
  bool active = true;
  std::string reason;  ///< The evidence, in a few words.

  bool operator==(const ejection_lease&) const = default;
};

/// One process's right to eject instances of its choice without the log, up to
/// a number of slots, until a wall-clock time.
struct ejection_allowance {
  std::string holder;
  int slots = 0;
  millis until;

  bool operator==(const ejection_allowance&) const = default;
};

/// One record of the log's stream `ejections`. It holds the complete state of a
/// service's ejections as of this record.
struct ejection_record {
  std::string service;
  digest base{};          ///< Digest of the preceding record.
  uint64_t sequence = 1;  ///< One above the base's sequence.
  std::string proposer;   ///< The process that appended this record.
  int floor = 0;          ///< Minimum healthy capacity, in slots.
  int slots = 1;          ///< Slots per instance.
  /// Ids of the live, warm instances that are not leaving, as the proposer saw
  /// them. Together they are the service's capacity.
  std::vector<std::string> capacity_instances;
  std::vector<ejection_lease> leases;
  std::vector<ejection_allowance> allowances;
};

/// Name of the log's stream of ejection records.
inline constexpr std::string_view kEjectionStream = "ejections";

/// Encodes a record as MessagePack.
std::string Encode(const ejection_record& record);

/// Decodes a record; throws codec_error if the bytes are malformed.
ejection_record DecodeEjection(std::string_view bytes);

}  // namespace peridotarch

#endif  // DETECTION_EJECTION_RECORD_H_
