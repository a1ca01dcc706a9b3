#ifndef REQUEST_REQUEST_KEY_H_
#define REQUEST_REQUEST_KEY_H_

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>

#include "core/millis.h"

namespace peridotarch {

/// Digest of a service's name and a caller's key.
using key_digest = std::array<uint8_t, 16>;

/// Hash of a digest, which is already uniformly distributed.
struct key_digest_hash {
  size_t operator()(const key_digest& value) const {
    size_t head = 0;
    std::memcpy(&head, value.data(), sizeof(head));
    return head;
  }
};

/// A caller's `Idempotency-Key: <unix-ms>-<token>`.
struct request_key {
  key_digest id{};
  millis issued;  ///< The caller's wall clock when it made the key.
};

/// Returns the key of a request to `service`, or nothing when `text` is
/// malformed.
std::optional<request_key> ParseRequestKey(std::string_view service,
                                           std::string_view text);

}  // namespace peridotarch

#endif  // REQUEST_REQUEST_KEY_H_
