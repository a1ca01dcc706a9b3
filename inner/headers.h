#ifndef INNER_HEADERS_H_
#define INNER_HEADERS_H_

#include <string_view>

namespace peridotarch {

/// Headers of an answer to a caller.
inline constexpr std::string_view kVerdictHeader = "Request-Verdict";
inline constexpr std::string_view kReasonHeader = "Request-Reason";

/// Headers of a caller's request that the proxy reads.
inline constexpr std::string_view kTeamHeader = "Team";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";

/// Headers between an entry node and the owner of a shard.
inline constexpr std::string_view kInnerSealHeader = "Inner-Seal";
inline constexpr std::string_view kInnerCallHeader = "Inner-Call";
inline constexpr std::string_view kInnerAnswerHeader = "Inner-Answer-To";

/// Targets on the inner port: the connection's nonce, and JSON-RPC.
inline constexpr std::string_view kHelloTarget = "/inner/hello";
inline constexpr std::string_view kRpcTarget = "/rpc";

/// Headers towards an upstream.
inline constexpr std::string_view kAttemptHeader = "Request-Attempt";
inline constexpr std::string_view kDeadlineHeader = "Request-Deadline-Ms";

/// Headers of an upstream's answer.
inline constexpr std::string_view kNotStartedHeader = "Not-Started";
inline constexpr std::string_view kDrainingHeader = "Draining";

}  // namespace peridotarch

#endif  // INNER_HEADERS_H_
