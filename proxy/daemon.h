#ifndef PROXY_DAEMON_H_
#define PROXY_DAEMON_H_

#include "proxy/settings.h"

namespace peridotarch {

/// Runs a proxy until SIGTERM or SIGINT and a graceful shutdown. Throws
/// settings_error when an address cannot be bound.
void RunDaemon(const proxy_settings& settings);

}  // namespace peridotarch

#endif  // PROXY_DAEMON_H_
