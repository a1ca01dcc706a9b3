#ifndef CLI_CONFIG_CHECK_H_
#define CLI_CONFIG_CHECK_H_

#include <ostream>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// `check FILE`: every error of a rules file.
int CheckCommand(const cli_settings& settings,
                 const std::vector<std::string>& args, std::ostream& out,
                 std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_CONFIG_CHECK_H_
