#ifndef FRONT_FRONT_DAEMON_H_
#define FRONT_FRONT_DAEMON_H_

#include <string>

namespace peridotarch {

/// Serves callers on the platform until SIGTERM or SIGINT. Reads the settings
/// again on SIGHUP and when their file changes. Throws settings_error.
void RunFrontDaemon(const std::string& settings_path);

}  // namespace peridotarch

#endif  // FRONT_FRONT_DAEMON_H_
