#include "proxy/settings.h"

#include <vector>

#include "core/settings_reader.h"
#include "core/version.h"

namespace peridotarch {

namespace {

constexpr size_t kMinFleetKeyBytes = 16;
constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxThreads = 64;
constexpr int64_t kMaxMegabytes = 1 << 20;
constexpr int kMegabyteBits = 20;
constexpr int64_t kMinFds = 256;
constexpr int64_t kMaxFds = 1 << 20;

std::vector<setting> Table() {
  const std::string name = "1 to 63 letters, digits, '.', '-' or '_'";
  const std::string port = "a port, 1 to 65535";
  const std::string address = "an IP number and a port, such as 10.0.0.5:7000";
  return {
      {.name = "node", .allowed = name, .meaning = "id in the host list"},
      {.name = "zone", .allowed = name, .meaning = "availability zone"},
      {.name = "address",
       .allowed = "an IP number",
       .meaning = "address that both listeners bind"},
      {.name = "port", .allowed = port, .meaning = "port for callers"},
      {.name = "inner-port",
       .allowed = port + ", other than --port",
       .meaning = "port for the fleet's own messages, TCP and UDP"},
      {.name = "log", .allowed = address, .meaning = "the platform's log"},
      {.name = "hosts",
       .allowed = address,
       .meaning = "the platform's list of hosts"},
      {.name = "fleet-key",
       .allowed = "16 bytes or more, the same on every node",
       .meaning = "key that signs the fleet's own messages",
       .secret = true},
      {.name = "threads",
       .allowed = "1 to 64",
       .meaning = "threads that serve requests",
       .fallback = "2"},
      {.name = "memory-mb",
       .allowed = "1 to 1048576",
       .meaning = "memory that the process may take, in MB",
       .fallback = "112"},
      {.name = "max-fds",
       .allowed = "256 to 1048576",
       .meaning = "descriptors that the process may open, at most its limit",
       .fallback = "1048576"},
      {.name = "help",
       .allowed = "no value",
       .meaning = "print this text",
       .fallback = "",
       .is_switch = true},
      {.name = "version",
       .allowed = "no value",
       .meaning = "print the version",
       .fallback = "",
       .is_switch = true},
  };
}

std::string Help() {
  return "Usage: peridotarchd SETTINGS\n\n"
         "One proxy of the fleet. Each setting is a flag or an environment "
         "variable; the flag goes first.\n\n" +
         DescribeSettings(Table()) +
         "\nExit codes: 0 drained and stopped, 2 a setting is not allowed, "
         "7 a fault of the program.\n";
}

std::string FleetKey(settings_reader& reader) {
  std::string key = reader.Text("fleet-key");
  if (key.size() < kMinFleetKeyBytes) {
    reader.Reject("fleet-key");
  }
  return key;
}

void CheckWords(settings_reader& reader) {
  for (const std::string& word : reader.words()) {
    reader.RejectWith('"' + word +
                      "\": not a setting; allowed are those of --help");
  }
}

void CheckPorts(settings_reader& reader) {
  const std::string inner = reader.Text("inner-port");
  if (!inner.empty() && inner == reader.Text("port")) {
    reader.Reject("inner-port");
  }
}

}  // namespace

proxy_settings ReadProxySettings(int argc, const char* const* argv) {
  settings_reader reader(Table(), argc, argv);
  proxy_settings settings;
  if (reader.Switch("help")) {
    settings.notice = Help();
    return settings;
  }
  if (reader.Switch("version")) {
    settings.notice = "peridotarchd " + std::string(kVersion) + '\n';
    return settings;
  }
  settings.node = reader.Name("node");
  settings.zone = reader.Name("zone");
  settings.address = reader.IpNumber("address");
  settings.port = static_cast<uint16_t>(reader.Number("port", 1, kMaxPort));
  settings.inner_port =
      static_cast<uint16_t>(reader.Number("inner-port", 1, kMaxPort));
  const host_port log = reader.Address("log");
  settings.log_host = log.host;
  settings.log_port = log.port;
  const host_port hosts = reader.Address("hosts");
  settings.hosts_host = hosts.host;
  settings.hosts_port = hosts.port;
  settings.fleet_key = FleetKey(reader);
  settings.threads = static_cast<int>(reader.Number("threads", 1, kMaxThreads));
  settings.memory_bytes =
      static_cast<uint64_t>(reader.Number("memory-mb", 1, kMaxMegabytes))
      << kMegabyteBits;
  settings.max_fds =
      static_cast<size_t>(reader.Number("max-fds", kMinFds, kMaxFds));
  CheckPorts(reader);
  CheckWords(reader);
  reader.ThrowIfRejected();
  return settings;
}

}  // namespace peridotarch
