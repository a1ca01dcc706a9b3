#ifndef CLI_CONFIG_DIFF_H_
#define CLI_CONFIG_DIFF_H_

#include <ostream>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// `diff FILE`: what publishing a rules file would change.
int DiffCommand(const cli_settings& settings,
                const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_CONFIG_DIFF_H_
