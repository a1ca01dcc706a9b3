#ifndef CONFIG_REVISION_H_
#define CONFIG_REVISION_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "config/snapshot.h"
#include "core/hash.h"
#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// Identifies a revision of the rules file. `chain` is a hash of the record
/// that made the revision; as that record names the chain of its base, the hash
/// covers all earlier revisions too.
struct revision_id {
  uint64_t number = 0;  ///< 0 is the empty file that begins every chain.
  digest chain{};

  bool operator==(const revision_id&) const = default;
};

/// Returns `NUMBER-CHAIN` with the first 8 hexadecimal digits of the chain.
std::string ToText(const revision_id& id);

/// A revision with its rules, its author and its time.
struct revision {
  revision_id id;
  std::string author;
  millis published_at;  ///< Wall clock of the author.
  std::shared_ptr<const config_snapshot> snapshot;
};

/// Returns revision 0, which has no rules.
revision EmptyRevision();

/// The effect of a record of the stream `config`, the same at every reader. A
/// void record has none.
enum class apply_outcome {
  kAccepted,         ///< A published revision became the head.
  kRenewed,          ///< A snapshot of the head.
  kAdopted,          ///< A snapshot newer than the head, after a log reset.
  kJoined,           ///< A snapshot with the head's number but another chain.
  kDuplicate,        ///< The record that made the head, appended again.
  kVoidStaleBase,    ///< Its base is no longer the head.
  kVoidUnknownBase,  ///< Its base is newer than the head.
  kVoidOldSnapshot,  ///< A snapshot older than the head.
  kVoidTorn,         ///< Truncated or malformed.
  kVoidOversize,     ///< Larger than kMaxRecordBytes.
  kVoidForged,       ///< Not signed with the fleet key.
  kVoidBadDigest,    ///< Its edits do not fit, or give another digest.
  kVoidBadRules,     ///< Its text is not a valid rules file.
};

template <>
struct names_of<apply_outcome> {
  static constexpr std::array<std::string_view, 13> kTable = {
      "accepted",          "renewed",
      "adopted",           "joined",
      "duplicate",         "void_stale_base",
      "void_unknown_base", "void_old_snapshot",
      "void_torn",         "void_oversize",
      "void_forged",       "void_bad_digest",
      "void_bad_rules"};
};

}  // namespace peridotarch

#endif  // CONFIG_REVISION_H_
