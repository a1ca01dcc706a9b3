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

/// Names a revision of the rules file. `chain` covers the record that made the
/// revision and, through its base, all revisions before it.
struct revision_id {
  uint64_t number = 0;  ///< 0 is the empty file that every chain starts from.
  digest chain{};

  bool operator==(const revision_id&) const = default;
};

/// Returns `NUMBER-CHAIN`, the chain cut to 8 hexadecimal digits.
std::string ToText(const revision_id& id);

/// A revision with its text and who published it.
struct revision {
  revision_id id;
  std::string author;
  millis published_at;  ///< The publisher's wall clock.
  std::shared_ptr<const config_snapshot> snapshot;
};

/// Returns revision 0: no rules.
revision EmptyRevision();

/// What a record of the stream `config` does at every reader.
enum class apply_outcome {
  kAccepted,         ///< A published revision became the head.
  kRenewed,          ///< A snapshot of the head.
  kAdopted,          ///< A snapshot newer than the head, after a log reset.
  kJoined,           ///< A snapshot with the head's number and another chain.
  kDuplicate,        ///< The record that made the head, once more.
  kVoidStaleBase,    ///< Its base is no longer the head.
  kVoidUnknownBase,  ///< Its base is newer than the head.
  kVoidOldSnapshot,  ///< A snapshot older than the head.
  kVoidTorn,         ///< Cut short or malformed.
  kVoidOversize,     ///< Larger than kMaxRecordBytes.
  kVoidForged,       ///< Not signed with the fleet key.
  kVoidBadDigest,    ///< Its text does not have the digest that it names.
  kVoidBadRules,     ///< Its text is not a sound rules file.
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
