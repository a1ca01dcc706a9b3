#ifndef PROXY_MESSAGE_H_
#define PROXY_MESSAGE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "platform/http_client.h"
#include "proxy/call.h"

namespace peridotarch {

/// Largest header section that is read, in bytes.
inline constexpr uint32_t kMaxHeaderBytes = 16 << 10;

/// Largest body that is read, in bytes.
inline constexpr uint64_t kMaxBodyBytes = 1 << 20;

/// Returns why a request's head is refused, or nothing when it is sound:
/// exactly one host, at most one length, no folding, an origin-form target.
std::optional<reason> CheckHead(
    const boost::beast::http::request_header<>& head);

/// Removes headers that concern one connection only, and those that only the
/// fleet itself may set.
void StripForForwarding(boost::beast::http::fields& headers);

/// Returns false when the body is not as long as the reply says; `to_head` says
/// that the request was a HEAD. A chunked body is whole by its parser.
bool IsWhole(const http_response& reply, bool to_head);

/// Returns the reply to a caller for a result.
http_response ToReply(call_result result);

/// A reply, and its part in the node's memory until it is written.
struct counted_reply {
  http_response reply;
  std::shared_ptr<memory_reservation> memory;
};

/// Writes verdict and reason of a result into the headers of its reply, and
/// reads them back; the text form between the owner and the entry node.
call_result FromReply(http_response reply);

}  // namespace peridotarch

#endif  // PROXY_MESSAGE_H_
