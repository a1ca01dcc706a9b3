#ifndef CLI_CONFIG_COMMANDS_H_
#define CLI_CONFIG_COMMANDS_H_

#include <vector>

namespace peridotarch {

struct command;

/// Returns the commands on the rules file, followed by `others`.
std::vector<command> WithConfigCommands(const std::vector<command>& others);

}  // namespace peridotarch

#endif  // CLI_CONFIG_COMMANDS_H_
