#ifndef CORE_HOST_PORT_H_
#define CORE_HOST_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotarch {

/// An IP address and a port.
struct host_port {
  std::string host;  ///< IP number, without brackets.
  uint16_t port = 0;

  bool operator==(const host_port&) const = default;
};

/// Returns whether `text` is an IPv4 or IPv6 number.
bool IsIpNumber(std::string_view text);

/// Reads "10.0.0.1:80" or "[::1]:80"; nothing if malformed or the port is 0.
std::optional<host_port> ParseHostPort(std::string_view text);

/// Reads a decimal number within [low, high]; nothing if malformed or outside.
std::optional<int64_t> ParseNumber(std::string_view text, int64_t low,
                                   int64_t high);

}  // namespace peridotarch

#endif  // CORE_HOST_PORT_H_
