#ifndef CONFIG_LOG_FOLLOWER_H_
#define CONFIG_LOG_FOLLOWER_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/revision_chain.h"
#include "core/millis.h"
#include "platform/append_log.h"

namespace peridotarch {

/// What one page of the log brought.
struct follow_result {
  std::vector<applied_record> applied;
  bool is_stale =
      false;  ///< The answering replica is behind what was read before.
  bool head_changed = false;
};

/// Reads the stream `config` page by page. A start reads a window at the log's
/// end and takes the fold's state from a snapshot in it; the window grows until
/// there is one. A log that stays behind what was read before has been reset,
/// and is folded anew.
class log_follower {
 public:
  /// How long answers may stay behind before the log counts as reset.
  static constexpr millis kResetAfter{2000};

  /// Reads the whole log if `read_all`, else a window at its end.
  explicit log_follower(std::string fleet_key, bool read_all = false);

  /// Returns the offset to read from next.
  [[nodiscard]] uint64_t next_offset() const {
    return verify_ ? cursor_ - std::min(cursor_, kVerified) : cursor_;
  }

  /// Makes the next read fetch the last records anew, to see that they are
  /// still the ones that were folded.
  void Verify();
  [[nodiscard]] bool is_verifying() const { return verify_; }

  /// Returns how far the log has been folded.
  [[nodiscard]] log_position position() const {
    return {cursor_, last_hash_, last_snapshot_};
  }

  /// Takes an answer to a read.
  follow_result OnPage(const log_page& page, millis now);

  /// Takes the fold's state from a peer, when the log has not yet given one.
  void StartFrom(revision head, log_position position);

  /// Gives up the search for a snapshot: the oldest record kept becomes the
  /// start.
  void StartAtOldest();

  /// Folds the log anew.
  void Rescan();

  /// A revision known from elsewhere, which need not be parsed again.
  void SetKnown(revision known) { chain_.SetKnown(std::move(known)); }

  /// Keeps the revision with this number when the fold passes it.
  void Watch(uint64_t number);

  /// Returns the revision to keep, once passed.
  [[nodiscard]] const std::optional<revision>& watched() const {
    return watched_;
  }

  /// True once the head is the fold of the log.
  [[nodiscard]] bool has_state() const { return anchored_; }

  /// True when the last good page was read to its end.
  [[nodiscard]] bool caught_up() const { return caught_up_; }

  /// True when the whole log was read and held no state to start from.
  [[nodiscard]] bool found_no_snapshot() const { return exhausted_; }

  [[nodiscard]] const revision& head() const { return chain_.head(); }

  /// Where the scan started that led to the state of the fold.
  [[nodiscard]] uint64_t scan_start() const { return scan_start_; }

  /// The oldest offset kept, and that of the next append, as last heard.
  [[nodiscard]] uint64_t oldest() const { return oldest_; }
  [[nodiscard]] uint64_t next() const { return next_; }

  /// The offset of the last snapshot of the head's chain, if one was read.
  [[nodiscard]] std::optional<uint64_t> last_snapshot() const {
    return last_snapshot_;
  }

 private:
  static constexpr uint64_t kRecent = 64;    // records compared
  static constexpr uint64_t kVerified = 16;  // records read anew

  bool IsStale(const log_page& page, millis now);
  void Position();
  void ScanWindow();
  void ScanFrom(uint64_t from);
  void Widen();
  void Fold(const log_record& record, follow_result& result);
  void Keep();
  [[nodiscard]] bool HoldsLast(const log_page& page) const;
  bool TryAnchor(const log_record& record);
  [[nodiscard]] bool Contradicts(log_position position) const;
  [[nodiscard]] bool IsOfThisLog(log_position position) const;

  const std::string fleet_key_;
  const bool read_all_;
  revision_chain chain_;
  uint64_t cursor_ = 0;
  uint64_t last_hash_ = 0;
  std::array<uint64_t, kRecent> recent_{};  // Hashes by offset % kRecent.
  uint64_t scan_start_ = 0;
  std::vector<uint64_t> scanned_;  // Hashes from scan_start_ until anchored.
  uint64_t window_;
  uint64_t oldest_ = 0;
  uint64_t next_ = 0;
  uint64_t doubted_ = 0;  // Records below have been doubted once already.
  bool positioned_ = false;
  bool anchored_ = false;
  bool caught_up_ = false;
  bool exhausted_ = false;
  bool verify_ = false;
  std::optional<uint64_t> last_snapshot_;
  std::optional<millis> behind_since_;
  std::optional<uint64_t> watch_;
  std::optional<revision> watched_;
};

}  // namespace peridotarch

#endif  // CONFIG_LOG_FOLLOWER_H_
