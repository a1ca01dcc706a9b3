#ifndef CONFIG_PUBLISHER_H_
#define CONFIG_PUBLISHER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/line_diff.h"
#include "config/log_follower.h"
#include "config/record.h"
#include "config/revision.h"
#include "core/millis.h"
#include "core/names.h"
#include "platform/append_log.h"

namespace peridotarch {

/// The outcome of a publish.
enum class publish_outcome {
  kAccepted,   ///< The log holds it as a new revision.
  kUnchanged,  ///< The newest revision already has this text.
  kConflict,   ///< Another revision came first; nothing changed.
  kNeedBase,   ///< The log has revisions, but no base was named.
  kLogBehind,  ///< The log's newest revision stayed below the base.
  kUnknown,    ///< The deadline passed; the append may take effect.
  kLogAway,    ///< The deadline passed before anything was appended.
};

template <>
struct names_of<publish_outcome> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "accepted",   "unchanged", "conflict", "need_base",
      "log_behind", "unknown",   "log_away"};
};

/// The text that an operator publishes, and how.
struct publish_request {
  std::string fleet_key;
  std::string author;
  std::string text;  ///< A valid rules file.
  /// The revision that the text was edited from.
  std::optional<uint64_t> base;
  /// Apply the edits to the head if they do not conflict with newer revisions.
  bool rebase = false;
  record_id id{};       ///< Random.
  millis published_at;  ///< The operator's wall clock.
  millis deadline;      ///< On the monotonic clock of `now`.
};

/// The result of a publish.
struct publish_result {
  publish_outcome outcome = publish_outcome::kLogAway;
  revision head;     ///< The newest revision read; if accepted, the new one.
  std::string text;  ///< The published text; a rebase changes it.
  bool rebased = false;
  /// The base on a conflict. The base and the edits below are set only if the
  /// log still holds the base.
  std::optional<revision> base;
  std::vector<line_edit> mine;    ///< From the base to the operator's text.
  std::vector<line_edit> theirs;  ///< From the base to the head.
  bool mergeable = false;         ///< True if both edits fit together.
};

/// Read the stream from offset `from`; the log may wait for a record for up to
/// `wait`.
struct publish_read {
  uint64_t from = 0;
  millis wait;
};

/// Append `data` to the stream.
struct publish_append {
  std::string data;
};

using publish_step = std::variant<publish_read, publish_append, publish_result>;

/// Publishes one text. If the answer to an append is lost, the publisher looks
/// for the record in the log; it appends the same bytes again only where they
/// cannot take effect twice.
class publisher {
 public:
  explicit publisher(publish_request request);

  /// Returns the next step; a publish_result is the last one.
  publish_step Next(millis now);

  /// True while it is unknown whether an append takes effect.
  [[nodiscard]] bool append_pending() const { return !pending_bytes_.empty(); }

  void OnPage(const log_page& page, millis now);
  void OnAppended(millis now);

  /// Called when the answer to an append was lost or a call to the log failed.
  void OnError(millis now);

 private:
  [[nodiscard]] publish_result MakeResult(publish_outcome outcome) const;
  std::optional<publish_result> DecideNext();
  std::optional<publish_result> ResolveConflict();
  std::string EncodePublish();

  publish_request request_;
  log_follower follower_;
  std::string pending_bytes_;  // The record being appended, or empty.
  std::optional<apply_outcome> outcome_;
  revision pending_revision_;
  uint64_t first_offset_ = 0;  // The record cannot be below this offset.
  uint64_t attempt_ = 0;
  std::optional<millis> appended_at_;
  bool is_rebased_ = false;
};

}  // namespace peridotarch

#endif  // CONFIG_PUBLISHER_H_
