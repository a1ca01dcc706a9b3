#ifndef REQUEST_CLAIMER_H_
#define REQUEST_CLAIMER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/millis.h"
#include "platform/append_log.h"
#include "request/claim_record.h"
#include "request/claim_table.h"
#include "request/reason.h"
#include "request/request_key.h"

namespace peridotarch {

/// Limits on a claimer's writes to the log.
struct claim_limits {
  millis append_interval = millis(10);  ///< Between the starts of appends.
  millis append_timeout = millis(100);  ///< A later answer counts as lost.
  millis append_timeout_max = millis(2'000);  ///< After several lost answers.
  millis release_delay = millis(500);  ///< From the reply to the release.
  /// A claim that has been in flight for longer has lost its holder.
  millis max_run_time = millis(60'000);
  size_t max_entries = 256;    ///< Entries in one append.
  size_t max_waiting = 4'096;  ///< Submissions, and as many pending entries.
};

/// The answer to a submission's claim.
struct claim_outcome {
  uint64_t submission = 0;
  bool won = false;
  reason why = reason::kAnswered;  ///< Only if not won.
  int status = 0;                  ///< HTTP status; only for kKeyAlreadyRan.
};

/// What the process must do after a call of Tick.
struct claimer_actions {
  std::optional<std::string> append;  ///< A record to append.
  std::vector<claim_outcome> outcomes;
};

/// Claims keys for one process in one stream. Waiting claims share an append,
/// and at most one append is in flight. A claim is won only once it is read
/// back as the first claim of its key. Answers to appends are not trusted: an
/// entry that was not read back is sent again and takes effect once.
class claimer {
 public:
  /// `writer` is unique for each start of a process.
  claimer(uint64_t writer, key_window window, claim_limits limits = {});

  /// Claims a key for a request with this deadline (on the same clock as
  /// `now`). Returns the number of the submission; Tick returns its outcome
  /// once.
  uint64_t Submit(const request_key& key, millis deadline, millis now,
                  millis wall);

  /// Records that the holder ran the request with this HTTP status.
  void Complete(uint64_t submission, int status);

  /// Records that the holder has not run the request and never will. Must be
  /// called after the caller was told so.
  void Release(uint64_t submission, millis now);

  /// Records that the holder may have run the request and its outcome stays
  /// unknown.
  void MarkUnknown(uint64_t submission);

  /// Must be called when the append in flight was answered or has failed.
  void OnAppendEnded();

  /// Applies a page that was read from position().
  void Read(const log_page& page, millis now, millis wall);

  /// Returns what must be done now.
  claimer_actions Tick(millis now, millis wall);

  /// Returns whether this submission holds its key's claim; must be checked
  /// before the request is written.
  [[nodiscard]] bool Holds(uint64_t submission) const {
    return held_keys_.contains(submission);
  }

  /// Returns the offset from which to read next.
  [[nodiscard]] uint64_t position() const { return table_.position(); }

  /// Returns whether nothing waits to be appended or read back.
  [[nodiscard]] bool idle() const {
    return waiting_.empty() && pending_.empty();
  }

  [[nodiscard]] const claim_table& table() const { return table_; }

 private:
  struct waiting_claim {
    request_key key;
    millis deadline;
    uint64_t read_position = 0;  ///< When the submission came.
    bool is_lost = false;        ///< Read back without holding the key.
    std::optional<millis> sent_at;
  };
  struct pending_entry {
    claim_entry entry;
    millis not_before;
    std::optional<millis> sent_at;
  };

  [[nodiscard]] std::optional<claim_outcome> KnownOutcome(
      uint64_t submission, const request_key& key, millis wall) const;
  [[nodiscard]] bool IsDue(const std::optional<millis>& sent_at,
                           millis now) const;
  void AddPending(const claim_entry& entry, millis not_before);
  void SettleWaiting(millis now, millis wall);
  bool SettleClaim(uint64_t submission, const waiting_claim& claim, millis now,
                   millis wall);
  void MarkLost(const std::vector<claim_id>& lost);
  void NoteReadBack(const std::vector<claim_id>& records);
  void RemoveWritten();
  [[nodiscard]] bool IsWritten(const claim_entry& entry) const;
  std::optional<std::string> NextAppend(millis now);

  const uint64_t writer_;
  const claim_limits limits_;
  claim_table table_;
  std::map<uint64_t, waiting_claim> waiting_;
  std::map<uint64_t, request_key> held_keys_;
  std::map<uint64_t, pending_entry> pending_;  ///< By submission.
  std::vector<claim_outcome> outcomes_;
  uint64_t submissions_ = 0;
  bool in_flight_ = false;
  uint64_t appends_ = 0;
  millis timeout_;  ///< For the next append; doubles until one is read back.
  std::optional<millis> last_append_at_;
};

}  // namespace peridotarch

#endif  // REQUEST_CLAIMER_H_
