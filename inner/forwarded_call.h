#ifndef INNER_FORWARDED_CALL_H_
#define INNER_FORWARDED_CALL_H_

#include <string>
#include <string_view>

#include "core/millis.h"

namespace peridotarch {

/// What an entry node has decided about a request that it forwards to the
/// owner of a shard; travels in kInnerCallHeader.
struct forwarded_call {
  std::string service;
  int shard = 0;
  bool idempotent = false;
  int retries = 0;    ///< Attempts allowed beyond the first.
  std::string key;    ///< Of a keyed non-idempotent request, else empty.
  millis left;        ///< Time left until the caller's deadline.
  std::string zone;   ///< The entry node's availability zone.
  std::string id;     ///< Unique; the attempts' ids begin with it.
  std::string route;  ///< Method and pattern of the route.
};

/// Encodes a call as one line of JSON.
std::string Encode(const forwarded_call& call);

/// Decodes a call; throws codec_error.
forwarded_call DecodeForwardedCall(std::string_view text);

}  // namespace peridotarch

#endif  // INNER_FORWARDED_CALL_H_
