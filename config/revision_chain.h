#ifndef CONFIG_REVISION_CHAIN_H_
#define CONFIG_REVISION_CHAIN_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "config/record.h"
#include "config/revision.h"

namespace peridotarch {

/// The effect of one record.
struct applied_record {
  uint64_t offset = 0;
  millis appended_at;  ///< Wall clock of the log.
  apply_outcome outcome = apply_outcome::kVoidTorn;
  /// The revision that the record makes, holds or, if void, would have made;
  /// zero if the record is unreadable.
  revision_id id;
  record_id record{};  ///< The id of a publish record, else zero.
  std::string author;
  millis published_at;
  log_position position;        ///< How far its author had applied the log.
  bool is_start_point = false;  ///< A snapshot from which a reader may start.
  /// True if its author had another head at the same offset, so the log is not
  /// the one that was applied so far.
  bool contradicts_head = false;
};

/// Applies the records of the stream. The head depends on the contents of the
/// log alone, so every reader gets the same one.
class revision_chain {
 public:
  explicit revision_chain(std::string fleet_key);

  /// Starts at `head`, the result of applying all records below offset `since`.
  void Start(revision head, uint64_t since);

  /// Applies the next record in the order of the log.
  applied_record Apply(uint64_t offset, millis appended_at,
                       std::string_view bytes);

  /// Sets a revision known from elsewhere, so that a record that makes it is
  /// not parsed again.
  void SetKnown(revision known) { known_ = std::move(known); }

  [[nodiscard]] const revision& head() const { return head_; }

 private:
  void ApplyPublishRecord(const publish_record& record, applied_record& result);
  void ApplySnapshotRecord(const snapshot_record& record,
                           applied_record& result);
  apply_outcome AdoptSnapshot(const snapshot_record& record);
  apply_outcome JoinFork(const snapshot_record& record);
  void SetHead(revision head, uint64_t offset);

  const std::string fleet_key_;
  revision head_ = EmptyRevision();
  revision known_ = EmptyRevision();
  uint64_t head_since_ = 0;  // Offset from which on the head is valid.
};

}  // namespace peridotarch

#endif  // CONFIG_REVISION_CHAIN_H_
