#ifndef CLI_CONFIG_EXPLAIN_H_
#define CLI_CONFIG_EXPLAIN_H_

#include <ostream>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// `explain METHOD PATH`: the rules that a request falls under.
int ExplainCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_CONFIG_EXPLAIN_H_
