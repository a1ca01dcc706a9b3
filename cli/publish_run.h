#ifndef CLI_PUBLISH_RUN_H_
#define CLI_PUBLISH_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/publisher.h"
#include "core/millis.h"

namespace peridotarch {

struct cli_settings;

/// A live proxy that does not yet have a revision in force.
struct node_behind {
  std::string node;
  std::string state;  ///< The revision that it has, or why it did not answer.
};

/// Runs a publisher against the platform's log until it ends.
publish_result RunPublish(const cli_settings& settings, std::string text,
                          std::optional<uint64_t> base, bool rebase);

/// Asks the live proxies until all have revision `number` or a newer one in
/// force, or `deadline` on the steady clock; returns those that are behind.
std::vector<node_behind> WaitInForce(const cli_settings& settings,
                                     uint64_t number, millis deadline);

}  // namespace peridotarch

#endif  // CLI_PUBLISH_RUN_H_
