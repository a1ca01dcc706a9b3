#ifndef CLI_FLEET_H_
#define CLI_FLEET_H_

#include <string>
#include <vector>

#include "platform/host.h"

namespace peridotarch {

struct cli_settings;

/// What one proxy answered to a call.
struct fleet_answer {
  host proxy;
  std::string result;   ///< The method's result as JSON; empty on a failure.
  std::string failure;  ///< Why there is no result; empty on success.
};

/// Throws settings_error unless the host list and the fleet key are set.
void RequireFleet(const cli_settings& settings);

/// Returns the proxies in the platform's host list, in order of id; throws
/// platform_error.
std::vector<host> ReadFleet(const cli_settings& settings);

/// Calls a JSON-RPC method on every proxy, many at once, and returns one answer
/// for each, in the same order.
std::vector<fleet_answer> CallFleet(const cli_settings& settings,
                                    const std::vector<host>& proxies,
                                    const std::string& method,
                                    const std::string& params_json);

}  // namespace peridotarch

#endif  // CLI_FLEET_H_
