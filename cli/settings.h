#ifndef CLI_SETTINGS_H_
#define CLI_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/millis.h"

namespace peridotarch {

/// What every command of `peridotarch` may need. A host is empty and a port 0
/// when the setting is not given.
struct cli_settings {
  std::string log_host;  ///< IP number of the platform's log.
  uint16_t log_port = 0;
  std::string hosts_host;  ///< IP number of the platform's host list.
  uint16_t hosts_port = 0;
  std::string fleet_key;  ///< Shared by the fleet's processes.
  std::string author;     ///< Who publishes.
  bool json = false;      ///< Print JSON in place of text.
  millis timeout;         ///< How long a command may take in all.
};

/// The command line, split.
struct cli_invocation {
  cli_settings settings;
  std::string command;            ///< Empty when none is given.
  std::vector<std::string> args;  ///< The command's own words and flags.
  bool help = false;
  bool version = false;
};

/// Reads and checks flags, the environment and the command's name. Throws
/// settings_error, one line for each that is not allowed.
cli_invocation ReadCliSettings(int argc, const char* const* argv);

/// Returns the settings and the exit codes, for the help text.
std::string CliSettingsHelp();

/// Throws settings_error, one line for each that is missing, unless `address`,
/// that of the flag `name`, and the fleet key are set.
void RequireServer(const cli_settings& settings, const std::string& name,
                   const std::string& address);

}  // namespace peridotarch

#endif  // CLI_SETTINGS_H_
