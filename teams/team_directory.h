#ifndef TEAMS_TEAM_DIRECTORY_H_
#define TEAMS_TEAM_DIRECTORY_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teams/team.h"

namespace peridotarch {

/// Finds teams by the keys of their callers. Immutable.
class team_directory {
 public:
  /// Refers to `teams`, which must outlive the directory. Without teams
  /// requests need no key; with an empty list no key is valid.
  explicit team_directory(const std::optional<std::vector<team>>& teams);

  /// Returns the team that holds the key, or nullptr.
  [[nodiscard]] const team* FindByKey(std::string_view key) const;

  /// Returns whether requests on routes that are not open need a key.
  [[nodiscard]] bool requires_keys() const { return requires_keys_; }

 private:
  struct digest_hash {
    size_t operator()(const digest& value) const;
  };

  std::unordered_map<digest, const team*, digest_hash> by_key_;
  const bool requires_keys_;
};

}  // namespace peridotarch

#endif  // TEAMS_TEAM_DIRECTORY_H_
