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

/// How a claimer writes to the log.
struct claim_limits {
  millis append_interval = millis(10);  ///< Between the starts of appends.
  millis append_timeout = millis(100);  ///< Then an answer counts as lost.
  millis append_timeout_max = millis(2'000);  ///< After several in a row.
  millis release_delay = millis(500);  ///< From the reply to the release.
  millis max_run_time =
      millis(60'000);          ///< A claim may be in flight this long.
  size_t max_entries = 256;    ///< In one append.
  size_t max_waiting = 4'096;  ///< Submissions and notes.
};

/// The answer to a submission's claim.
struct claim_outcome {
  uint64_t submission = 0;
  bool won = false;
  reason why = reason::kAnswered;  ///< When not won.
  int status = 0;                  ///< Of kKeyAlreadyRan.
};

/// What the shell does next.
struct claimer_actions {
  std::optional<std::string> append;  ///< A record to append.
  std::vector<claim_outcome> outcomes;
};

/// Claims keys for one process in one stream. Waiting claims go to the log
/// together, with at most one append in flight; a claim is won only by reading
/// it back as the first of its key. Answers to appends are not trusted: an
/// entry that was not read back is sent again and takes effect once.
class claimer {
 public:
  /// `writer` is unique for each start of a process.
  claimer(uint64_t writer, key_window window, claim_limits limits = {});

  /// Asks to run a key before `deadline` (on the clock of `now`). Returns the
  /// submission; Tick answers it once.
  uint64_t Submit(const request_key& key, millis deadline, millis now,
                  millis wall);

  /// The holder ran the key with this status.
  void Complete(uint64_t submission, int status);

  /// The holder has not run the key and never will. To be called after the
  /// caller was told so.
  void Release(uint64_t submission, millis now);

  /// The holder may have run the key; its outcome stays unknown.
  void MarkUnknown(uint64_t submission);

  /// The append in flight was answered or failed.
  void OnAppendEnded();

  /// A page was read from position().
  void Read(const log_page& page, millis now, millis wall);

  /// Returns what is to be done now.
  claimer_actions Tick(millis now, millis wall);

  /// Returns whether this submission holds its key's claim; to be checked
  /// before the request is written.
  [[nodiscard]] bool Holds(uint64_t submission) const {
    return held_.contains(submission);
  }

  /// Returns the offset to read from next.
  [[nodiscard]] uint64_t position() const { return table_.position(); }

  /// Returns whether anything waits to be appended or read back.
  [[nodiscard]] bool idle() const { return waiting_.empty() && notes_.empty(); }

  [[nodiscard]] const claim_table& table() const { return table_; }

 private:
  struct waiting_claim {
    request_key key;
    millis deadline;
    uint64_t read_position = 0;  ///< Position in the stream when it came.
    bool lost = false;  ///< Its claim was read back and does not hold the key.
    std::optional<millis> sent;
  };
  struct note {
    claim_entry entry;
    millis not_before;
    std::optional<millis> sent;
  };

  [[nodiscard]] std::optional<claim_outcome> Known(uint64_t submission,
                                                   const request_key& key,
                                                   millis wall) const;
  [[nodiscard]] bool Due(const std::optional<millis>& sent, millis now) const;
  void AddNote(const claim_entry& entry, millis not_before);
  void Settle(millis now, millis wall);
  bool SettleOne(uint64_t submission, const waiting_claim& claim, millis now,
                 millis wall);
  void NoteLost(const std::vector<claim_id>& lost);
  void NoteWritten(const std::vector<claim_id>& records);
  void ForgetWrittenNotes();
  [[nodiscard]] bool Written(const claim_entry& entry) const;
  std::optional<std::string> NextAppend(millis now);

  const uint64_t writer_;
  const claim_limits limits_;
  claim_table table_;
  std::map<uint64_t, waiting_claim> waiting_;
  std::map<uint64_t, request_key> held_;
  std::map<uint64_t, note> notes_;  ///< By submission.
  std::vector<claim_outcome> outcomes_;
  uint64_t submissions_ = 0;
  bool in_flight_ = false;
  uint64_t appends_ = 0;
  millis timeout_;  ///< Of the next append; doubles while none is read back.
  std::optional<millis> last_append_;
};

}  // namespace peridotarch

#endif  // REQUEST_CLAIMER_H_
