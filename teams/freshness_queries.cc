#include "teams/freshness_queries.h"

#include <algorithm>

#include "core/error.h"
#include "core/fields.h"

namespace peridotarch {

namespace {

// Older queries can't prove anything that is still young enough.
constexpr size_t kMaxUnanswered = 8;

void RequireEnd(const field_reader& fields) {
  if (!fields.empty()) {
    throw codec_error("freshness message is too long");
  }
}

}  // namespace

std::string EncodeFreshnessQuery(uint64_t nonce) {
  std::string payload;
  PutField(payload, nonce);
  return payload;
}

uint64_t DecodeFreshnessQuery(std::string_view payload) {
  field_reader fields(payload);
  const auto nonce = fields.Take<uint64_t>();
  RequireEnd(fields);
  return nonce;
}

std::string Encode(const freshness_reply& reply) {
  std::string payload;
  PutField(payload, reply.nonce);
  PutField(payload, reply.version.value());
  PutField(payload, static_cast<uint32_t>(
                        std::clamp<int64_t>(reply.age.count(), 0, UINT32_MAX)));
  return payload;
}

freshness_reply DecodeFreshnessReply(std::string_view payload) {
  field_reader fields(payload);
  freshness_reply reply;
  reply.nonce = fields.Take<uint64_t>();
  reply.version = fields.Take<uint64_t>();
  reply.age = millis(fields.Take<uint32_t>());
  RequireEnd(fields);
  return reply;
}

void freshness_queries::NoteSent(uint64_t nonce, millis now) {
  unanswered_.push_back({nonce, now});
  if (unanswered_.size() > kMaxUnanswered) {
    unanswered_.pop_front();
  }
}

std::optional<millis> freshness_queries::ProvedAt(
    const freshness_reply& reply) {
  const auto found = std::find_if(
      unanswered_.begin(), unanswered_.end(),
      [&reply](const query& one) { return one.nonce == reply.nonce; });
  if (found == unanswered_.end()) {
    return std::nullopt;
  }
  const millis proved_at = found->sent_at - reply.age;
  unanswered_.erase(found);
  return proved_at;
}

}  // namespace peridotarch
