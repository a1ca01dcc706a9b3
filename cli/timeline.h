#ifndef CLI_TIMELINE_H_
#define CLI_TIMELINE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// Runs `peridotarch timeline`: the events of all proxies in one order.
int TimelineCommand(const cli_settings& settings,
                    const std::vector<std::string>& args, std::ostream& out,
                    std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_TIMELINE_H_
