#include "request/request_key.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "core/hash.h"

namespace peridotarch {

namespace {

constexpr size_t kMinTokenBytes = 8;
constexpr size_t kMaxTokenBytes = 128;
constexpr int64_t kMinIssueMs = 1'000'000'000'000;
constexpr int64_t kMaxIssueMs = 99'999'999'999'999;

bool IsTokenByte(char byte) {
  const bool letter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool digit = byte >= '0' && byte <= '9';
  return letter || digit || byte == '-' || byte == '_' || byte == '.';
}

}  // namespace

// The service is part of the digest, because unrelated callers may send the
// same key to two services.
std::optional<request_key> ParseRequestKey(std::string_view service,
                                           std::string_view text) {
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view time = text.substr(0, dash);
  const std::string_view token = text.substr(dash + 1);
  if (token.size() < kMinTokenBytes || token.size() > kMaxTokenBytes ||
      !std::all_of(token.begin(), token.end(), IsTokenByte)) {
    return std::nullopt;
  }
  int64_t issued = 0;
  const char* end = time.data() + time.size();
  const auto parsed = std::from_chars(time.data(), end, issued);
  if (parsed.ec != std::errc() || parsed.ptr != end || issued < kMinIssueMs ||
      issued > kMaxIssueMs) {
    return std::nullopt;
  }
  std::string scoped(service);
  scoped.push_back('\0');
  scoped += text;
  const digest full = Sha256(scoped);
  request_key key;
  std::copy_n(full.begin(), key.id.size(), key.id.begin());
  key.issued = millis(issued);
  return key;
}

}  // namespace peridotarch
