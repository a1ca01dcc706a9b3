#ifndef REQUEST_CLAIM_RECORD_H_
#define REQUEST_CLAIM_RECORD_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/names.h"
#include "request/request_key.h"

namespace peridotarch {

/// What an entry of the stream says of a key.
enum class claim_kind {
  kClaim,      ///< A submission asks to run the key.
  kCompleted,  ///< The claim's holder ran it and knows the status.
  kReleased,   ///< The submission has not run the key and never will.
  kUnknown,    ///< The claim's holder may have run it; its outcome is lost.
};

template <>
struct names_of<claim_kind> {
  static constexpr std::array<std::string_view, 4> kTable = {
      "claim", "completed", "released", "unknown"};
};

/// Names one submission of a request to an owner.
struct claim_id {
  uint64_t writer = 0;    ///< One process: unique for each start.
  uint64_t sequence = 0;  ///< Rises with the writer's submissions.

  auto operator<=>(const claim_id&) const = default;
};

/// One entry of a record of the stream.
struct claim_entry {
  claim_kind kind = claim_kind::kClaim;
  request_key key;
  uint64_t sequence = 0;
  int status = 0;              ///< HTTP status, of kCompleted.
  uint64_t read_position = 0;  ///< Of kClaim: the writer's position in the
                               ///< stream when the submission came.
};

/// One record of the stream: entries of one writer, in order.
struct claim_batch {
  uint64_t writer = 0;
  uint64_t number = 0;  ///< Rises with the writer's appends.
  std::vector<claim_entry> entries;
};

/// Encodes a record.
std::string EncodeClaims(const claim_batch& batch);

/// The record of a body: its checksum, then the body.
std::string PrependClaimChecksum(std::string_view body);

/// Decodes a record; nothing when it is torn or foreign.
std::optional<claim_batch> DecodeClaims(std::string_view data);

}  // namespace peridotarch

#endif  // REQUEST_CLAIM_RECORD_H_
