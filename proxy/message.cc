#include "proxy/message.h"

#include <algorithm>
#include <array>
#include <climits>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "core/host_port.h"
#include "inner/headers.h"
#include "platform/hop_headers.h"

namespace peridotarch {

namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;
constexpr int64_t kMillisPerSecond = 1000;
constexpr std::string_view kKeyStatusHeader = "Request-Key-Status";

constexpr std::array<std::string_view, 9> kFleetHeaders = {
    kInnerAnswerHeader, kInnerSealHeader, kInnerCallHeader,
    kAttemptHeader,     kDeadlineHeader,  kVerdictHeader,
    kReasonHeader,      kKeyStatusHeader, kNotStartedHeader};

size_t CountOf(const http::fields& headers, std::string_view name) {
  return headers.count(name);
}

// Control characters in a value are how one header line smuggles a second.
bool HasControl(std::string_view value) {
  return std::any_of(value.begin(), value.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t') || c == 0x7f;
  });
}

bool IsOriginForm(std::string_view target) {
  return target.starts_with('/') &&
         std::none_of(target.begin(), target.end(),
                      [](unsigned char c) { return c <= 0x20 || c == 0x7f; });
}

// Returns 0 for what is no number, such as an upstream's date.
int64_t NumberIn(std::string_view text, int64_t max) {
  return ParseNumber(text, 0, max).value_or(0);
}

int64_t ToWholeSeconds(millis span) {
  const millis rounded_up = span + millis(kMillisPerSecond - 1);
  return std::max<int64_t>(1, (rounded_up / kMillisPerSecond).count());
}

}  // namespace

call_result Refusal(reason why, millis retry_after) {
  call_result result;
  result.why = why;
  result.run_verdict = ReplyFor(why).run_verdict;
  result.retry_after = retry_after;
  return result;
}

std::optional<reason> CheckHead(const http::request_header<>& head) {
  if (head.method() == http::verb::connect ||
      head.method() == http::verb::unknown || !IsOriginForm(head.target())) {
    return reason::kBadRequest;
  }
  if (CountOf(head, "Host") != 1 || CountOf(head, "Content-Length") > 1 ||
      CountOf(head, "Transfer-Encoding") > 1 || CountOf(head, kKeyHeader) > 1 ||
      CountOf(head, kTeamHeader) > 1) {
    return reason::kBadRequest;
  }
  const bool has_length = CountOf(head, "Content-Length") == 1;
  const bool has_coding = CountOf(head, "Transfer-Encoding") == 1;
  if (has_length && has_coding) {
    return reason::kBadRequest;
  }
  if (head.method() == http::verb::trace &&
      (has_coding ||
       (has_length && head[http::field::content_length] != "0"))) {
    return reason::kBadRequest;
  }
  if (has_coding &&
      !boost::beast::iequals(head[http::field::transfer_encoding], "chunked")) {
    return reason::kBadRequest;
  }
  for (const auto& field : head) {
    if (HasControl(field.value())) {
      return reason::kBadRequest;
    }
  }
  return std::nullopt;
}

void StripForForwarding(http::fields& headers) {
  StripHopHeaders(headers);
  for (const auto& name : kFleetHeaders) {
    headers.erase(name);
  }
}

bool IsWhole(const http_response& reply, bool to_head) {
  const bool bodiless = to_head || reply.result() == http::status::no_content ||
                        reply.result() == http::status::not_modified;
  if (bodiless || reply.count(http::field::content_length) == 0) {
    return true;
  }
  const std::string length(reply[http::field::content_length]);
  return length == std::to_string(reply.body().size());
}

http_response ToReply(call_result result) {
  const reply_rule rule = ReplyFor(result.why);
  http_response reply;
  if (result.why == reason::kAnswered) {
    reply = std::move(result.answer);
  } else {
    reply.version(kHttp11);
    reply.result(rule.status);
    reply.set(http::field::content_type, "application/json");
    reply.body() = nlohmann::json{{"reason", ToName(result.why)},
                                  {"verdict", ToName(result.run_verdict)}}
                       .dump();
    reply.prepare_payload();
  }
  reply.set(kVerdictHeader, ToName(result.run_verdict));
  reply.set(kReasonHeader, ToName(result.why));
  if (rule.retry_after) {
    reply.set(http::field::retry_after,
              std::to_string(ToWholeSeconds(result.retry_after)));
  }
  if (result.key_status != 0) {
    reply.set(kKeyStatusHeader, std::to_string(result.key_status));
  }
  return reply;
}

call_result FromReply(http_response reply) {
  call_result result;
  const auto why = FromName<reason>(reply[kReasonHeader]);
  const auto run_verdict = FromName<verdict>(reply[kVerdictHeader]);
  if (!why || !run_verdict) {
    return Refusal(reason::kOwnerLost);
  }
  result.why = *why;
  result.run_verdict = *run_verdict;
  result.retry_after =
      millis(NumberIn(reply[http::field::retry_after], INT64_MAX)) *
      kMillisPerSecond;
  result.key_status =
      static_cast<int>(NumberIn(reply[kKeyStatusHeader], INT_MAX));
  result.answer = std::move(reply);
  return result;
}

}  // namespace peridotarch
