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

/// The stream of the platform's log that holds the rules.
inline constexpr std::string_view kConfigStream = "config";

/// The largest record, in bytes; a larger one is void.
inline constexpr size_t kMaxRecordBytes = size_t{1} << 20;

/// Distinguishes two records even if they make the same change.
using record_id = std::array<uint8_t, 16>;

/// How far an author had applied the log when it made a record.
struct log_position {
  uint64_t end_offset = 0;  ///< All records below it were applied.
  uint64_t last_hash = 0;   ///< Hash64 of the record just below; 0 if unknown.
  /// Where a reader reads on that starts from a snapshot of the head.
  std::optional<uint64_t> last_snapshot;
};

/// Makes a new revision from its base.
struct publish_record {
  record_id id{};
  revision_id base;
  log_position position;         ///< Where `base` was the head.
  digest text_digest{};          ///< SHA-256 of the whole new text.
  std::vector<line_edit> edits;  ///< From the base's text to the new text.
  std::string author;
  millis published_at;  ///< The author's wall clock.
  digest new_chain{};   ///< Of the revision that it makes; set by DecodeRecord.
};

/// A whole revision, appended so that new readers need not read far back.
struct snapshot_record {
  revision_id id;
  /// True if `id` is the head of the log at `position`, so a reader may start
  /// there.
  bool is_head = false;
  log_position position;
  std::string author;
  millis published_at;
  std::string text;
};

/// A peer's answer to a fetch: the publish records that follow the revision of
/// the requesting node, or one snapshot record. Each is encoded.
struct fetch_answer {
  std::vector<std::string> records;
};

using config_record =
    std::variant<std::monostate, publish_record, snapshot_record, fetch_answer>;

/// A decoded record. If it is void, `fault` is kVoidTorn, kVoidOversize or
/// kVoidForged and `record` is std::monostate.
struct decoded_record {
  apply_outcome fault = apply_outcome::kAccepted;
  config_record record;
};

/// Encodes a record and signs it with the fleet key. Throws codec_error if it
/// is larger than kMaxRecordBytes.
std::string EncodeRecord(const config_record& record,
                         std::string_view fleet_key);

/// Checks and decodes a record. Bad bytes make it void and do not throw.
decoded_record DecodeRecord(std::string_view bytes, std::string_view fleet_key);

/// Returns the snapshot record of a revision.
snapshot_record ToSnapshotRecord(const revision& from, bool is_head,
                                 log_position position);

/// Parses a snapshot record. Throws codec_error on invalid rules.
revision FromSnapshotRecord(const snapshot_record& record);

/// Returns the revision that `record` makes from `base`. If its edits, digest
/// or rules are wrong, sets `fault` to the reason and throws codec_error.
revision ApplyPublish(const revision& base, const publish_record& record,
                      apply_outcome* fault);

}  // namespace peridotarch

#endif  // CONFIG_RECORD_H_
