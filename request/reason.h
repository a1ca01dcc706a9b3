#ifndef REQUEST_REASON_H_
#define REQUEST_REASON_H_

#include <array>
#include <string_view>

#include "core/names.h"
#include "core/verdict.h"

namespace peridotarch {

/// Why a caller gets its answer.
enum class reason {
  kAnswered,           ///< The upstream's whole answer is passed on.
  kBadRequest,         ///< Malformed or ambiguous HTTP.
  kTooLarge,           ///< The body is above the limit.
  kHeadersTooLarge,    ///< The header section is above the limit.
  kRequestTimeout,     ///< The caller did not finish its request in time.
  kNoRoute,            ///< No rule matches the method and path.
  kTeamLimit,          ///< The team is above its rate.
  kQueueFull,          ///< The owner's queue is full.
  kOverloaded,         ///< The expected wait is too long; shed early.
  kNoCapacity,         ///< The service has no instance that may take work.
  kDeadlineExpired,    ///< The deadline passed while waiting for a slot.
  kOwnerUnreachable,   ///< No owner of the shard could be reached.
  kOwnerLost,          ///< The owner's answer did not arrive.
  kUpstreamRefused,    ///< No byte could be sent to the instance.
  kUpstreamShed,       ///< The instance answered that it did not start.
  kUpstreamReset,      ///< The connection broke after the write had begun.
  kUpstreamTruncated,  ///< The answer ended before its full length.
  kUpstreamMalformed,  ///< The answer is not valid HTTP.
  kUpstreamTimeout,    ///< No answer within the deadline.
  kKeyRunning,         ///< An attempt with the same key is in flight.
  kKeyAlreadyRan,      ///< The key has run; its status is known.
  kKeyOutcomeUnknown,  ///< The key may have run; its status is not known.
  kKeyExpired,     ///< The key is older than the window in which keys are kept.
  kKeyInFuture,    ///< The key's issue time lies too far ahead.
  kKeyMalformed,   ///< The key is not `<unix-ms>-<token>`.
  kLogAway,        ///< The key could not be claimed: the log did not answer.
  kShuttingDown,   ///< This proxy is leaving; use another.
  kIsolated,       ///< The log and all peers have been silent for too long.
  kNotConfigured,  ///< This proxy has no rules yet.
  kInternalError,  ///< An exception ended the request, which may have run.
  kInternalNotRun,  ///< The same before any byte was sent to an instance.
  kUnknownKey,      ///< The request has no key that a team holds.
  kConfigOutdated,  ///< A key may have been withdrawn without this node's
                    ///< knowledge.
  kMemoryShort,     ///< The node has no memory for the request or its answer.
};

template <>
struct names_of<reason> {
  static constexpr std::array<std::string_view, 34> kTable = {
      "answered",           "bad_request",
      "too_large",          "headers_too_large",
      "request_timeout",    "no_route",
      "team_limit",         "queue_full",
      "overloaded",         "no_capacity",
      "deadline_expired",   "owner_unreachable",
      "owner_lost",         "upstream_refused",
      "upstream_shed",      "upstream_reset",
      "upstream_truncated", "upstream_malformed",
      "upstream_timeout",   "key_running",
      "key_already_ran",    "key_outcome_unknown",
      "key_expired",        "key_in_future",
      "key_malformed",      "log_away",
      "shutting_down",      "isolated",
      "not_configured",     "internal_error",
      "internal_not_run",   "unknown_key",
      "config_outdated",    "memory_short"};
};

/// The reply to a caller for a reason.
struct reply_rule {
  int status = 0;  ///< HTTP status; 0 passes on the upstream's.
  verdict run_verdict = verdict::kMayHaveRun;  ///< On this attempt alone.
  bool retry_after = false;  ///< Whether the reply carries Retry-After.
};

/// Returns the reply for a reason. Its verdict is on one attempt;
/// RequestVerdict turns it into the verdict on the request.
reply_rule ReplyFor(reason why);

}  // namespace peridotarch

#endif  // REQUEST_REASON_H_
