#ifndef CONFIG_RECORD_H_
#define CONFIG_RECORD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/line_diff.h"
#include "config/revision.h"

namespace peridotarch {

/// The stream of the platform's log that carries the rules.
inline constexpr std::string_view kConfigStream = "config";

/// The largest record, in bytes; larger ones are void.
inline constexpr size_t kMaxRecordBytes = size_t{1} << 20;

/// Tells one append from another, also when the same change is made twice.
using record_id = std::array<uint8_t, 16>;

/// How far an author had folded the log.
struct log_position {
  uint64_t end_offset = 0;  ///< All records below this offset.
  uint64_t last_hash = 0;   ///< Hash64 of the record just below, 0 if unknown.
  std::optional<uint64_t> last_snapshot;  ///< Offset of the head's snapshot.
};

/// Makes a new revision from its base.
struct publish_record {
  record_id id{};
  revision_id base;
  log_position position;         ///< Where `base` was the head.
  digest text_digest{};          ///< Of the whole new text.
  std::vector<line_edit> edits;  ///< From the base's text to the new text.
  std::string author;
  millis published_at;  ///< The author's wall clock.
  digest new_chain{};   ///< Of the revision that it makes; set by DecodeRecord.
};

/// A whole revision, appended anew so that readers need not read far back.
struct snapshot_record {
  revision_id id;
  bool is_head = false;  ///< True when the fold of the log at `position` has
                         ///< `id` as its head, so a reader may start there.
  log_position position;
  std::string author;
  millis published_at;
  std::string text;
};

/// What a peer answers to a fetch: publish records that follow the asker's
/// revision, or one snapshot record; each as encoded bytes.
struct fetch_answer {
  std::vector<std::string> records;
};

using config_record =
    std::variant<std::monostate, publish_record, snapshot_record, fetch_answer>;

/// A decoded record, or why it is void: kVoidTorn, kVoidOversize or
/// kVoidForged, with std::monostate.
struct decoded_record {
  apply_outcome fault = apply_outcome::kAccepted;
  config_record record;
};

/// Encodes and signs a record with the fleet key. Throws codec_error when it
/// is larger than kMaxRecordBytes.
std::string EncodeRecord(const config_record& record,
                         std::string_view fleet_key);

/// Checks and decodes a record. Never throws on bad bytes.
decoded_record DecodeRecord(std::string_view bytes, std::string_view fleet_key);

/// Returns the snapshot record of a revision.
snapshot_record ToSnapshotRecord(const revision& from, bool is_head,
                                 log_position position);

/// Parses a snapshot record; throws codec_error on bad rules.
revision FromSnapshotRecord(const snapshot_record& record);

/// Returns the revision that `record` makes from `base`; throws codec_error
/// when its edits, digest or rules are wrong; `fault` says which.
revision ApplyPublish(const revision& base, const publish_record& record,
                      apply_outcome* fault);

}  // namespace peridotarch

#endif  // CONFIG_RECORD_H_
