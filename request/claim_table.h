#ifndef REQUEST_CLAIM_TABLE_H_
#define REQUEST_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/millis.h"
#include "platform/append_log.h"
#include "request/claim_record.h"
#include "request/request_key.h"

namespace peridotarch {

/// Limits on a key's issue time and on clock differences.
struct key_window {
  millis max_age = millis(3'600'000);  ///< An older key is refused.
  millis max_lead = millis(30'000);    ///< A key may be issued this far ahead.
  /// Largest difference between clocks of the fleet and the log.
  millis max_skew = millis(30'000);
};

/// What is known about the claim of a key.
struct claim_view {
  enum class claim_state { kFree, kClaimed, kCompleted, kUnknown };
  claim_state state = claim_state::kFree;
  claim_id holder;
  int status = 0;      ///< HTTP status; only for kCompleted.
  millis appended_at;  ///< Log time of the claim or its completion.
};

/// What a page of the log means for the writers of its records.
struct claim_page_result {
  std::vector<claim_id> lost;     ///< Claims that do not hold their key.
  std::vector<claim_id> records;  ///< Writer and number of each record.
};

/// The claims of a stream, applied in log order: the first claim of a key wins.
/// All readers that have applied a record agree on the winner.
class claim_table {
 public:
  explicit claim_table(key_window window) : window_(window) {}

  /// Applies a page that was read from position(). Pages from a lagging replica
  /// are ignored. `wall` is this node's clock.
  claim_page_result ApplyPage(const log_page& page, millis wall);

  /// Returns the offset from which to read next.
  [[nodiscard]] uint64_t position() const { return position_; }

  /// Returns whether a page has been applied.
  [[nodiscard]] bool ready() const { return ready_; }

  /// Returns what is known about the claim of a key.
  [[nodiscard]] claim_view Find(const key_digest& id) const;

  /// Returns whether a submission was released.
  [[nodiscard]] bool IsReleased(const key_digest& id,
                                claim_id submission) const;

  /// Returns whether the key is older than the claims kept here, so that not
  /// finding it proves nothing.
  [[nodiscard]] bool IsExpired(const request_key& key, millis wall) const;

  /// Returns whether the key's issue time lies too far in the future.
  [[nodiscard]] bool IsTooFarAhead(const request_key& key, millis wall) const {
    return key.issued > wall + window_.max_lead;
  }

  /// Returns whether entries of the key no longer have any effect.
  [[nodiscard]] bool IsForgotten(const request_key& key) const {
    return key.issued < OldestKept();
  }

  [[nodiscard]] size_t size() const { return keys_.size(); }
  [[nodiscard]] uint64_t invalid_records() const { return invalid_records_; }

 private:
  struct key_state {
    claim_view view;
    millis issued;
    std::vector<claim_id> released;  ///< Submissions whose claims are void.
    uint64_t claimable_from = 0;  ///< Offset after the holder's last release.
  };

  void NoteGap(const log_page& page, millis wall);
  bool Apply(claim_id submission, const claim_entry& entry,
             const log_record& record);
  void Release(key_state& key, claim_id submission, const log_record& record);
  void Sweep();
  [[nodiscard]] millis OldestKept() const;

  const key_window window_;
  std::unordered_map<key_digest, key_state, key_digest_hash> keys_;
  uint64_t position_ = 0;
  bool ready_ = false;
  millis covered_from_;  ///< Log time since which all records were applied.
  millis log_time_;      ///< Latest log time of the records read.
  millis next_sweep_at_;
  uint64_t invalid_records_ = 0;
};

}  // namespace peridotarch

#endif  // REQUEST_CLAIM_TABLE_H_
