#ifndef CLI_CONFIG_LOG_H_
#define CLI_CONFIG_LOG_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "config/revision.h"
#include "config/revision_chain.h"

namespace peridotarch {

struct cli_settings;

/// What the log holds of the rules.
struct config_history {
  revision head;
  std::vector<applied_record> records;  ///< From the start of the fold on.
  std::optional<revision> watched;      ///< The revision asked for, if kept.
};

/// Throws settings_error unless the log and the fleet key are set.
void RequireLog(const cli_settings& settings);

/// Reads the head's neighbourhood, or with `whole` all that the log keeps;
/// throws platform_error.
config_history ReadConfigLog(const cli_settings& settings, bool whole,
                             std::optional<uint64_t> watch = std::nullopt);

}  // namespace peridotarch

#endif  // CLI_CONFIG_LOG_H_
