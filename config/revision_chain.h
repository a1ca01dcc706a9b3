#ifndef CONFIG_REVISION_CHAIN_H_
#define CONFIG_REVISION_CHAIN_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "config/record.h"
#include "config/revision.h"

namespace peridotarch {

/// What one record did.
struct applied_record {
  uint64_t offset = 0;
  millis appended_at;  ///< The log's wall clock.
  apply_outcome outcome = apply_outcome::kVoidTorn;
  revision_id id;      ///< The revision that it makes, names or, if void, asks
                       ///< for; zero when it could not be read.
  record_id record{};  ///< The id of a publish record, else zero.
  std::string author;
  millis published_at;
  log_position position;        ///< How far its author had folded the log.
  bool is_start_point = false;  ///< A snapshot from which a reader may start.
  bool contradicts_head =
      false;  ///< Its author saw another head than this fold at the
              ///< same offset: the log is not the one folded so far.
};

/// The fold of the stream: its head follows from the log's content alone, so
/// every reader comes to the same.
class revision_chain {
 public:
  explicit revision_chain(std::string fleet_key);

  /// Starts at `head`, which is the fold of all records below `since`.
  void Start(revision head, uint64_t since);

  /// Takes the next record in the log's order.
  applied_record Apply(uint64_t offset, millis appended_at,
                       std::string_view bytes);

  /// A revision known from elsewhere; a record that makes it is not parsed
  /// again.
  void SetKnown(revision known) { known_ = std::move(known); }

  [[nodiscard]] const revision& head() const { return head_; }

 private:
  void Publish(const publish_record& record, applied_record& result);
  void Snapshot(const snapshot_record& record, applied_record& result);
  apply_outcome Adopt(const snapshot_record& record);
  apply_outcome Join(const snapshot_record& record);
  void SetHead(revision head, uint64_t offset);

  const std::string fleet_key_;
  revision head_ = EmptyRevision();
  revision known_ = EmptyRevision();
  uint64_t since_ = 0;  // The head has been the head from this offset on.
};

}  // namespace peridotarch

#endif  // CONFIG_REVISION_CHAIN_H_
