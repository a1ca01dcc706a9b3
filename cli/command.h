#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// One command of `peridotarch`.
struct command {
  /// Runs it with its own words and flags; returns the exit code.
  using function = int (*)(const cli_settings& settings,
                           const std::vector<std::string>& args,
                           std::ostream& out, std::ostream& err);

  std::string_view name;
  std::string_view usage;    ///< Its own words and flags.
  std::string_view summary;  ///< One line.
  std::string_view help;     ///< What it prints, its flags and exit codes.
  function run = nullptr;
};

/// All commands, in the order of the help text.
const std::vector<command>& Commands();

/// Reads the command line, runs the command and maps errors to exit codes.
int RunCli(int argc, const char* const* argv, std::ostream& out,
           std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_COMMAND_H_
