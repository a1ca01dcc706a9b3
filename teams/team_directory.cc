#include "teams/team_directory.h"

#include <cstring>

namespace peridotarch {

team_directory::team_directory(const std::optional<std::vector<team>>& teams)
    : requires_keys_(teams.has_value()) {
  if (!teams) {
    return;
  }
  for (const team& one : *teams) {
    for (const digest& key : one.keys) {
      by_key_.emplace(key, &one);
    }
  }
}

// The key is compared by its digest alone, so the time that a lookup takes
// tells nothing about the keys in force.
const team* team_directory::FindByKey(std::string_view key) const {
  if (key.empty()) {
    return nullptr;
  }
  const auto found = by_key_.find(Sha256(key));
  return found == by_key_.end() ? nullptr : found->second;
}

size_t team_directory::digest_hash::operator()(const digest& value) const {
  size_t hash = 0;
  std::memcpy(&hash, value.data(), sizeof(hash));
  return hash;
}

}  // namespace peridotarch
