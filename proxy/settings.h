#ifndef PROXY_SETTINGS_H_
#define PROXY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridotarch {

/// What a proxy learns at its start.
struct proxy_settings {
  std::string node;         ///< Id of this node in the host list.
  std::string zone;         ///< Availability zone.
  std::string address;      ///< IP number that both listeners bind.
  uint16_t port = 0;        ///< Callers' HTTP.
  uint16_t inner_port = 0;  ///< The fleet's own messages, TCP and UDP.
  std::string log_host;     ///< IP number of the platform's log.
  uint16_t log_port = 0;
  std::string hosts_host;  ///< IP number of the platform's host list.
  uint16_t hosts_port = 0;
  std::string fleet_key;  ///< Shared by the fleet's processes; 16 bytes or
                          ///< more.
  int threads = 0;        ///< Threads that serve requests.
  uint64_t memory_bytes = uint64_t{112} << 20;  ///< That the process may take.
  size_t max_fds = size_t{1} << 20;  ///< Descriptors that it may open.
  std::string notice;  ///< Help or version to print in place of running.
};

/// Reads and checks all settings from flags and the environment. Throws
/// settings_error, one line for each that is not allowed.
proxy_settings ReadProxySettings(int argc, const char* const* argv);

}  // namespace peridotarch

#endif  // PROXY_SETTINGS_H_
