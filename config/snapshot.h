#ifndef CONFIG_SNAPSHOT_H_
#define CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/route_table.h"
#include "config/rules.h"
#include "core/hash.h"

namespace peridotarch {

/// A parsed revision of the rules file. It is immutable, and a request uses the
/// same one from its start to its end.
struct config_snapshot {
  uint64_t revision = 0;  ///< From 1; 0 is the empty file.
  digest text_digest{};   ///< SHA-256 of `text`.
  std::string text;
  rules rule_set;
  route_table routes;

  config_snapshot() = default;
  config_snapshot(const config_snapshot&) = delete;
  config_snapshot& operator=(const config_snapshot&) = delete;

  /// Returns the service's rule, or nullptr.
  [[nodiscard]] const service_rule* FindService(std::string_view name) const;

  /// Returns the team's limit, or nullptr.
  [[nodiscard]] const limit_rule* FindLimit(std::string_view team) const;

  /// Returns the drain or pin rule of an instance, or nullptr.
  [[nodiscard]] const instance_rule* FindInstance(
      std::string_view service, std::string_view instance) const;

 private:
  friend std::shared_ptr<const config_snapshot> MakeSnapshot(uint64_t revision,
                                                             std::string text);

  std::unordered_map<std::string_view, const service_rule*> services_;
  std::unordered_map<std::string_view, const limit_rule*> limits_;
};

/// Parses `text`. Throws codec_error with the first problem if it is not a
/// valid rules file.
std::shared_ptr<const config_snapshot> MakeSnapshot(uint64_t revision,
                                                    std::string text);

}  // namespace peridotarch

#endif  // CONFIG_SNAPSHOT_H_
