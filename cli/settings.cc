#include "cli/settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "core/error.h"
#include "core/settings_reader.h"

namespace peridotarch {

namespace {

constexpr millis kMinTimeout(100);
constexpr millis kMaxTimeout(600'000);
constexpr size_t kMinFleetKeyBytes = 16;

std::string LoginName() {
  const char* name = std::getenv("USER");
  return name != nullptr && *name != '\0' ? name : "operator";
}

std::vector<setting> Table() {
  const std::string address = "an IP number and a port, such as 10.0.0.5:7000";
  return {
      {.name = "log",
       .allowed = address,
       .meaning = "the platform's log",
       .fallback = ""},
      {.name = "hosts",
       .allowed = address,
       .meaning = "the platform's list of hosts",
       .fallback = ""},
      {.name = "fleet-key",
       .allowed = "16 bytes or more, the same as on every node",
       .meaning = "key that signs the fleet's own messages",
       .fallback = "",
       .secret = true},
      {.name = "author",
       .allowed = "1 to 63 letters, digits, '.', '-' or '_'",
       .meaning = "who publishes",
       .fallback = LoginName()},
      {.name = "timeout",
       .allowed = "100ms to 10m, such as 800ms, 10s or 1m",
       .meaning = "how long the command may take in all",
       .fallback = "10s"},
      {.name = "json",
       .allowed = "true, false, 1 or 0; the flag takes no value",
       .meaning = "print JSON in place of text",
       .fallback = "false",
       .is_switch = true},
      {.name = "help",
       .allowed = "no value",
       .meaning = "print the help of the program or of the command",
       .fallback = "",
       .is_switch = true},
      {.name = "version",
       .allowed = "no value",
       .meaning = "print the version",
       .fallback = "",
       .is_switch = true},
  };
}

std::string FleetKey(settings_reader& reader) {
  std::string key = reader.Text("fleet-key");
  if (!key.empty() && key.size() < kMinFleetKeyBytes) {
    reader.Reject("fleet-key");
  }
  return key;
}

cli_settings ReadSettings(settings_reader& reader) {
  cli_settings settings;
  const host_port log = reader.Address("log");
  settings.log_host = log.host;
  settings.log_port = log.port;
  const host_port hosts = reader.Address("hosts");
  settings.hosts_host = hosts.host;
  settings.hosts_port = hosts.port;
  settings.fleet_key = FleetKey(reader);
  settings.author = reader.Name("author");
  settings.json = reader.Switch("json");
  settings.timeout = reader.Span("timeout", kMinTimeout, kMaxTimeout);
  return settings;
}

}  // namespace

cli_invocation ReadCliSettings(int argc, const char* const* argv) {
  settings_reader reader(Table(), argc, argv);
  cli_invocation invocation;
  invocation.args = reader.words();
  if (!invocation.args.empty()) {
    invocation.command = invocation.args.front();
    invocation.args.erase(invocation.args.begin());
  }
  invocation.help = reader.Switch("help");
  invocation.version = reader.Switch("version");
  if (!invocation.help && !invocation.version) {
    invocation.settings = ReadSettings(reader);
    reader.ThrowIfRejected();
  }
  return invocation;
}

std::string CliSettingsHelp() {
  return "Settings; the flag goes before the variable:\n" +
         DescribeSettings(Table()) +
         "\nExit codes:\n"
         "  0  done\n"
         "  1  the answer is negative, such as a file with errors\n"
         "  2  a setting or a word of the command line is not allowed\n"
         "  3  the platform or the fleet does not answer; nothing changed\n"
         "  4  another publish went first; nothing changed\n"
         "  5  the log's answer was lost; the change may have been made\n"
         "  6  published, but not in force everywhere within the timeout\n"
         "  7  a fault of the program\n";
}

void RequireServer(const cli_settings& settings, const std::string& name,
                   const std::string& address) {
  std::string missing;
  if (address.empty()) {
    std::string variable = name;
    std::transform(variable.begin(), variable.end(), variable.begin(),
                   [](unsigned char c) { return std::toupper(c); });
    missing = "--" + name + " (or PERIDOTARCH_" + variable +
              "): missing; allowed is an IP number and a port, such as "
              "10.0.0.5:7000";
  }
  if (settings.fleet_key.empty()) {
    missing += missing.empty() ? "" : "\n";
    missing +=
        "--fleet-key (or PERIDOTARCH_FLEET_KEY): missing; allowed is 16 bytes "
        "or more, the same as on every node";
  }
  if (!missing.empty()) {
    throw settings_error(missing);
  }
}

}  // namespace peridotarch
