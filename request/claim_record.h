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

/// What an entry of the stream says about a key.
enum class claim_kind {
  kClaim,      ///< A submission asks to run the request of the key.
  kCompleted,  ///< The claim's holder ran the request and knows its status.
  kReleased,   ///< The submission has not run the request and never will.
  kUnknown,    ///< The claim's holder may have run it; its outcome is lost.
};

template <>
struct names_of<claim_kind> {
  static constexpr std::array<std::string_view, 4> kTable = {
      "claim", "completed", "released", "unknown"};
};

/// Identifies one submission of a request to an owner.
struct claim_id {
  uint64_t writer = 0;    ///< The process; unique for each start.
  uint64_t sequence = 0;  ///< Increases with each submission of the writer.

  auto operator<=>(const claim_id&) const = default;
};

/// One entry in a record of the stream.
struct claim_entry {
  claim_kind kind = claim_kind::kClaim;
  request_key key;
  uint64_t sequence = 0;
  int status = 0;              ///< HTTP status; only for kCompleted.
  uint64_t read_position = 0;  ///< Only for kClaim: the writer's position in
                               ///< the stream when the submission came.
};

/// One record of the stream: the entries of one writer, in order.
struct claim_batch {
  uint64_t writer = 0;
  uint64_t number = 0;  ///< Increases with each append of the writer.
  std::vector<claim_entry> entries;
};

/// Encodes a record.
std::string EncodeClaims(const claim_batch& batch);

/// Returns the record for a body: its checksum, then the body.
std::string PrependClaimChecksum(std::string_view body);

/// Decodes a record; returns nothing if it is truncated, corrupt or of another
/// format.
std::optional<claim_batch> DecodeClaims(std::string_view data);

}  // namespace peridotarch

#endif  // REQUEST_CLAIM_RECORD_H_
