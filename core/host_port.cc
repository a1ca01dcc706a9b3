#include "core/host_port.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace peridotarch {

bool IsIpNumber(std::string_view text) {
  const std::string copy(text);
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, copy.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, copy.c_str(), parsed.data()) == 1;
}

std::optional<int64_t> ParseNumber(std::string_view text, int64_t low,
                                   int64_t high) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc() || stop != end || value < low || value > high) {
    return std::nullopt;
  }
  return value;
}

std::optional<host_port> ParseHostPort(std::string_view text) {
  constexpr int64_t kMaxPort = 65535;
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view address = text.substr(0, colon);
  const bool bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  const bool is_v6 = address.find(':') != std::string_view::npos;
  const auto port = ParseNumber(text.substr(colon + 1), 1, kMaxPort);
  if (!port || is_v6 != bracketed || !IsIpNumber(address)) {
    return std::nullopt;
  }
  return host_port{std::string(address), static_cast<uint16_t>(*port)};
}

}  // namespace peridotarch
