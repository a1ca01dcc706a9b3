#ifndef TEAMS_CONFIG_FRESHNESS_H_
#define TEAMS_CONFIG_FRESHNESS_H_

#include <optional>

#include "core/millis.h"
#include "core/store_count.h"

namespace peridotarch {

/// Whether this node's configuration was the newest one lately, so that no key
/// in it can have been withdrawn for longer than a bound.
///
/// A proof says that a version was the newest one in the store at, or after,
/// the moment when the question for it was asked. Its age counts from that
/// moment, by a clock that goes on while the machine is suspended: an answer
/// may have waited anywhere on its way.
class config_freshness {
 public:
  /// Without `max_age` the configuration always counts as fresh.
  explicit config_freshness(std::optional<millis> max_age)
      : max_age_(max_age) {}

  /// Returns whether proofs are needed.
  [[nodiscard]] bool is_required() const { return max_age_.has_value(); }

  /// Takes a proof of `version`. `own_version` is the one in force on this
  /// node; the proof counts from when that is as new as `version`.
  void NoteProof(millis asked_at, config_version version,
                 config_version own_version);
  /// A version has come into force on this node.
  void NoteVersion(config_version own_version);

  /// Returns whether requests with keys may run.
  [[nodiscard]] bool IsFresh(millis now) const;
  /// Returns the age of the latest proof that counts, or nullopt.
  [[nodiscard]] std::optional<millis> AgeAt(millis now) const;

 private:
  struct proof {
    millis asked_at;
    config_version version;
  };

  const std::optional<millis> max_age_;
  std::optional<millis> proved_at_;
  std::optional<proof> pending_;  ///< Of a version that is not in force yet.
};

}  // namespace peridotarch

#endif  // TEAMS_CONFIG_FRESHNESS_H_
