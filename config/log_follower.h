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

/// The result of taking in one page of the log.
struct follow_result {
  std::vector<applied_record> applied;  ///< Of this page, in order.
  /// The log replica that answered lacks records that were read before.
  bool is_stale = false;
  bool head_changed = false;
};

/// Reads the stream `config` page by page and applies its records. A new reader
/// scans a window at the end of the log and starts from a snapshot in it; the
/// window grows until it holds one. A log whose end stays below the offset read
/// so far has been reset and is scanned again.
class log_follower {
 public:
  /// How long answers may be stale before the log counts as reset.
  static constexpr millis kResetAfter{2000};

  /// Scans the whole log if `read_all`, else a window at its end.
  explicit log_follower(std::string fleet_key, bool read_all = false);

  /// Returns the offset to read from next.
  [[nodiscard]] uint64_t next_offset() const {
    return is_verifying_ ? cursor_ - std::min(cursor_, kVerifiedRecords)
                         : cursor_;
  }

  /// Makes the next read fetch the latest records again, to check that they are
  /// still the ones that were applied.
  void Verify();
  [[nodiscard]] bool is_verifying() const { return is_verifying_; }

  /// Returns how far the log has been applied.
  [[nodiscard]] log_position position() const {
    return {cursor_, last_hash_, last_snapshot_};
  }

  /// Takes in the answer to a read.
  follow_result OnPage(const log_page& page, millis now);

  /// Starts from a peer's head, unless a state is already known. `position` is
  /// where the log has that head.
  void StartFrom(revision head, log_position position);

  /// Gives up the search for a snapshot and starts with the empty revision at
  /// the oldest record that the log holds.
  void StartAtOldest();

  /// Scans the log again from the next page on.
  void Rescan();

  /// Sets a revision known from elsewhere, so that it is not parsed again.
  void SetKnown(revision known) { chain_.SetKnown(std::move(known)); }

  /// Keeps a copy of the revision with this number when it becomes the head.
  void Watch(uint64_t number);

  /// Returns the revision asked for with Watch, once it has been the head.
  [[nodiscard]] const std::optional<revision>& watched() const {
    return watched_;
  }

  /// True once head() follows from the records of the log.
  [[nodiscard]] bool has_state() const { return has_state_; }

  /// True when all known records have been applied.
  [[nodiscard]] bool caught_up() const { return caught_up_; }

  /// True when the whole log was scanned and held no snapshot to start from.
  [[nodiscard]] bool found_no_snapshot() const { return found_no_snapshot_; }

  [[nodiscard]] const revision& head() const { return chain_.head(); }

  /// Returns the offset at which the current scan started.
  [[nodiscard]] uint64_t scan_start() const { return scan_start_; }

  /// Returns the oldest offset in the log and the offset of the next append, as
  /// of the last page.
  [[nodiscard]] uint64_t oldest() const { return oldest_; }
  [[nodiscard]] uint64_t next() const { return next_; }

  /// Returns the offset from which a reader reads on that starts from the last
  /// snapshot of the head, if a snapshot to start from was read.
  [[nodiscard]] std::optional<uint64_t> last_snapshot() const {
    return last_snapshot_;
  }

 private:
  static constexpr uint64_t kRecentRecords = 64;
  static constexpr uint64_t kVerifiedRecords = 16;  // Verify reads these again.

  bool IsStale(const log_page& page, millis now);
  void RestartScan();
  void ScanWindow();
  void ScanFrom(uint64_t from);
  void WidenWindow();
  void ApplyRecord(const log_record& record, follow_result& result);
  void KeepWatched();
  [[nodiscard]] bool IsDueToLostBase(apply_outcome outcome) const;
  [[nodiscard]] bool MatchesRecent(const log_page& page) const;
  bool TryStartAtSnapshot(const log_record& record);
  [[nodiscard]] bool IsContradictedBy(log_position position) const;
  [[nodiscard]] bool IsInThisLog(log_position position) const;

  const std::string fleet_key_;
  const bool read_all_;
  revision_chain chain_;
  uint64_t cursor_ = 0;
  uint64_t last_hash_ = 0;
  // Hashes of records, indexed by offset % kRecentRecords; 0 if unknown.
  std::array<uint64_t, kRecentRecords> recent_hashes_{};
  uint64_t scan_start_ = 0;
  // Hashes of the records from scan_start_ on, kept until has_state_ is true.
  std::vector<uint64_t> scanned_hashes_;
  uint64_t window_records_;
  uint64_t oldest_ = 0;
  uint64_t next_ = 0;
  // Records below this offset have already caused one rescan.
  uint64_t rescanned_below_ = 0;
  bool has_scan_ = false;
  bool has_state_ = false;
  bool caught_up_ = false;
  bool found_no_snapshot_ = false;
  bool is_verifying_ = false;
  // Started at the oldest record, and no snapshot of the head has been applied
  // since.
  bool has_lost_base_ = false;
  std::optional<uint64_t> last_snapshot_;
  std::optional<millis> behind_since_;
  std::optional<uint64_t> watched_number_;
  std::optional<revision> watched_;
};

}  // namespace peridotarch

#endif  // CONFIG_LOG_FOLLOWER_H_
