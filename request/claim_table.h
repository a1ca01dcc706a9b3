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

/// For how long keys are kept.
struct key_window {
  millis max_age =
      millis(3'600'000);             ///< A key is refused when older than this.
  millis max_lead = millis(30'000);  ///< A key may be issued this far ahead.
  millis max_skew = millis(30'000);  ///< Clocks of the fleet and the log differ
                                     ///< by no more.
};

/// What the fold holds of a key.
struct claim_view {
  enum class state { kFree, kClaimed, kCompleted, kUnknown };
  state held = state::kFree;
  claim_id holder;
  int status = 0;  ///< Of kCompleted.
  millis since;    ///< The log's clock.
};

/// What a page held for the writers of its records.
struct claim_page_result {
  std::vector<claim_id> lost;     ///< Claims that do not hold their key.
  std::vector<claim_id> records;  ///< Writer and number of each record.
};

/// The claims of a stream, folded in log order: the first claim of a key wins.
/// Every reader that has folded a record agrees on the winner.
class claim_table {
 public:
  explicit claim_table(key_window window) : window_(window) {}

  /// Folds a page that was read from position(). Pages of a replica that lags
  /// are ignored. `wall` is this node's clock.
  claim_page_result ApplyPage(const log_page& page, millis wall);

  /// Returns the offset to read from next.
  [[nodiscard]] uint64_t position() const { return position_; }

  /// Returns whether a page has been folded.
  [[nodiscard]] bool ready() const { return ready_; }

  /// Returns what is known of a key.
  [[nodiscard]] claim_view Find(const key_digest& id) const;

  /// Returns whether a submission was released.
  [[nodiscard]] bool IsReleased(const key_digest& id, claim_id who) const;

  /// Returns whether the key is older than what is kept, so that an unknown key
  /// proves nothing.
  [[nodiscard]] bool IsExpired(const request_key& key, millis wall) const;

  /// Returns whether the key's issue time lies too far ahead.
  [[nodiscard]] bool IsTooFarAhead(const request_key& key, millis wall) const {
    return key.issued > wall + window_.max_lead;
  }

  /// Returns whether entries of the key have no effect any more.
  [[nodiscard]] bool IsForgotten(const request_key& key) const {
    return key.issued < OldestKept();
  }

  [[nodiscard]] size_t size() const { return keys_.size(); }
  [[nodiscard]] uint64_t invalid_records() const { return void_records_; }

 private:
  struct key_state {
    claim_view view;
    millis issued;
    std::vector<claim_id> released;  ///< Their claims are void.
    uint64_t open_from = 0;  ///< Position after the holder's last release.
  };

  void NoteGap(const log_page& page, millis wall);
  bool Apply(claim_id who, const claim_entry& entry, const log_record& record);
  void Release(key_state& key, claim_id who, const log_record& record);
  void Sweep();
  [[nodiscard]] millis OldestKept() const;

  const key_window window_;
  std::unordered_map<key_digest, key_state, key_digest_hash> keys_;
  uint64_t position_ = 0;
  bool ready_ = false;
  millis covered_from_;  ///< Log time since which every record was folded.
  millis log_time_;      ///< The latest that was seen of the log's clock.
  millis next_sweep_;
  uint64_t void_records_ = 0;
};

}  // namespace peridotarch

#endif  // REQUEST_CLAIM_TABLE_H_
