#ifndef TEAMS_FRESHNESS_QUERIES_H_
#define TEAMS_FRESHNESS_QUERIES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/millis.h"
#include "core/store_count.h"

namespace peridotarch {

/// What a peer answers to a query: its version, and how old its proof of that
/// version was when it answered.
struct freshness_reply {
  uint64_t nonce = 0;  ///< Of the query.
  config_version version;
  millis age;

  bool operator==(const freshness_reply&) const = default;
};

std::string EncodeFreshnessQuery(uint64_t nonce);
/// Returns the nonce; throws codec_error.
uint64_t DecodeFreshnessQuery(std::string_view payload);
std::string Encode(const freshness_reply& reply);
/// Throws codec_error.
freshness_reply DecodeFreshnessReply(std::string_view payload);

/// The queries of one node that peers have not answered yet.
class freshness_queries {
 public:
  /// Notes a query that is sent now. The nonce must not repeat.
  void NoteSent(uint64_t nonce, millis now);
  /// Returns since when the version of the reply is known to have been the
  /// newest, or nullopt if the reply is to none of the latest queries or
  /// repeats another reply.
  std::optional<millis> ProvedAt(const freshness_reply& reply);

 private:
  struct query {
    uint64_t nonce = 0;
    millis sent_at;
  };

  std::deque<query> unanswered_;
};

}  // namespace peridotarch

#endif  // TEAMS_FRESHNESS_QUERIES_H_
