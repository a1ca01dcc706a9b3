#ifndef CLI_CONFIG_HISTORY_H_
#define CLI_CONFIG_HISTORY_H_

#include <ostream>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// `history`: the records of the rules that the log keeps and what each did;
/// with `--show N` the text of a revision.
int HistoryCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_CONFIG_HISTORY_H_
