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

/// How a publish ended.
enum class publish_outcome {
  kAccepted,   ///< The log holds it as the head's successor.
  kUnchanged,  ///< The head already has this text.
  kConflict,   ///< Another revision came first; nothing was changed.
  kNeedBase,   ///< The log has revisions and none was named as the base.
  kLogBehind,  ///< The log's head stayed older than the base.
  kUnknown,    ///< Time ran out while the append may still take effect.
  kLogAway,    ///< Time ran out before anything was appended.
};

template <>
struct names_of<publish_outcome> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "accepted",   "unchanged", "conflict", "need_base",
      "log_behind", "unknown",   "log_away"};
};

/// What an operator asks for.
struct publish_request {
  std::string fleet_key;
  std::string author;
  std::string text;              ///< A sound rules file.
  std::optional<uint64_t> base;  ///< The revision that the text was made from.
  bool rebase = false;  ///< Carry the edits over to the head when no line is
                        ///< touched by both.
  record_id id{};       ///< Random.
  millis published_at;  ///< The operator's wall clock.
  millis deadline;      ///< On the clock of `now`.
};

/// What a publish came to.
struct publish_result {
  publish_outcome outcome = publish_outcome::kLogAway;
  revision head;     ///< The log's head as last read; if accepted, the new one.
  std::string text;  ///< The text published; differs after a rebase.
  bool rebased = false;
  /// On a conflict, when the base's text is still in the log:
  std::optional<revision> base;
  std::vector<line_edit> mine;    ///< Base to the operator's text.
  std::vector<line_edit> theirs;  ///< Base to the head.
  bool mergeable = false;         ///< No line is touched by both.
};

/// Read the stream from `from`, waiting up to `wait` at the log.
struct publish_read {
  uint64_t from = 0;
  millis wait;
};

/// Append to the stream.
struct publish_append {
  std::string data;
};

using publish_step = std::variant<publish_read, publish_append, publish_result>;

/// Publishes one text. An append whose answer is lost is looked up in the log;
/// the same bytes are appended again only where they cannot take effect twice.
class publisher {
 public:
  explicit publisher(publish_request request);

  /// Returns what to do next; a publish_result is the end.
  publish_step Next(millis now);

  /// True while an append may take effect whose fate is not yet known.
  [[nodiscard]] bool append_pending() const { return !bytes_.empty(); }

  void OnPage(const log_page& page, millis now);
  void OnAppended(millis now);

  /// The append's answer was lost, or a call to the log failed.
  void OnError(millis now);

 private:
  [[nodiscard]] publish_result End(publish_outcome outcome) const;
  std::optional<publish_result> Decide();
  std::optional<publish_result> Conflict();
  std::string Encode();

  publish_request request_;
  log_follower log_;
  std::string bytes_;  // The record under way, or empty.
  std::optional<apply_outcome> folded_;
  revision made_;
  uint64_t appended_from_ = 0;  // The record can only stand from here on.
  uint64_t attempt_ = 0;
  std::optional<millis> appended_at_;
  bool rebased_ = false;
};

}  // namespace peridotarch

#endif  // CONFIG_PUBLISHER_H_
