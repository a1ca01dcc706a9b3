#ifndef CLI_CONFIG_PUBLISH_H_
#define CLI_CONFIG_PUBLISH_H_

#include <ostream>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// `publish FILE`: makes a rules file the next revision and waits until it is
/// in force on every live proxy.
int PublishCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err);

/// `rollback N`: publishes the text of an older revision anew.
int RollbackCommand(const cli_settings& settings,
                    const std::vector<std::string>& args, std::ostream& out,
                    std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_CONFIG_PUBLISH_H_
