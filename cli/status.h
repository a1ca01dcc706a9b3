#ifndef CLI_STATUS_H_
#define CLI_STATUS_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// Runs `peridotarch status`: each service's capacity against its floor, why
/// each instance is out, and each proxy's revision, members and doubts.
int StatusCommand(const cli_settings& settings,
                  const std::vector<std::string>& args, std::ostream& out,
                  std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_STATUS_H_
