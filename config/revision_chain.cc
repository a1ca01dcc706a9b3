#include "config/revision_chain.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace peridotarch {

namespace {

// Symmetric, so that every reader gets the same chain for two forked revisions.
digest JoinedChain(const digest& left, const digest& right) {
  std::string text = "join";
  text.append(std::min(left, right).begin(), std::min(left, right).end());
  text.append(std::max(left, right).begin(), std::max(left, right).end());
  return Sha256(text);
}

}  // namespace

revision_chain::revision_chain(std::string fleet_key)
    : fleet_key_(std::move(fleet_key)) {}

void revision_chain::Start(revision head, uint64_t since) {
  head_ = std::move(head);
  head_since_ = since;
}

applied_record revision_chain::Apply(uint64_t offset, millis appended_at,
                                     std::string_view bytes) {
  applied_record result;
  result.offset = offset;
  result.appended_at = appended_at;
  const decoded_record decoded = DecodeRecord(bytes, fleet_key_);
  if (decoded.fault != apply_outcome::kAccepted) {
    result.outcome = decoded.fault;
  } else if (const auto* publish =
                 std::get_if<publish_record>(&decoded.record)) {
    ApplyPublishRecord(*publish, result);
  } else if (const auto* snapshot =
                 std::get_if<snapshot_record>(&decoded.record)) {
    ApplySnapshotRecord(*snapshot, result);
  }
  return result;
}

// The successor of a head is the first record in the order of the log that
// names it as its base. The chain of a revision covers all earlier revisions,
// so a record takes effect only once, however often it is appended or applied.
void revision_chain::ApplyPublishRecord(const publish_record& record,
                                        applied_record& result) {
  result.id = {record.base.number + 1, record.new_chain};
  result.record = record.id;
  result.position = record.position;
  result.author = record.author;
  result.published_at = record.published_at;
  if (result.id == head_.id) {
    result.outcome = apply_outcome::kDuplicate;
    return;
  }
  if (record.base != head_.id) {
    const bool stale = record.base.number < head_.id.number;
    result.contradicts_head =
        !stale || record.position.end_offset >= head_since_;
    result.outcome =
        stale ? apply_outcome::kVoidStaleBase : apply_outcome::kVoidUnknownBase;
    return;
  }
  if (result.id == known_.id) {
    SetHead(known_, result.offset);
    result.outcome = apply_outcome::kAccepted;
    return;
  }
  try {
    SetHead(ApplyPublish(head_, record, &result.outcome), result.offset);
    result.outcome = apply_outcome::kAccepted;
  } catch (const codec_error&) {
    // ApplyPublish has set the outcome to the check that failed.
  }
}

void revision_chain::ApplySnapshotRecord(const snapshot_record& record,
                                         applied_record& result) {
  result.id = record.id;
  result.position = record.position;
  result.author = record.author;
  result.published_at = record.published_at;
  if (record.id == head_.id) {
    result.outcome = apply_outcome::kRenewed;
    result.is_start_point = record.is_head;
    return;
  }
  result.contradicts_head =
      record.is_head && record.position.end_offset >= head_since_;
  if (record.id.number < head_.id.number) {
    result.outcome = apply_outcome::kVoidOldSnapshot;
    return;
  }
  try {
    result.outcome = record.id.number > head_.id.number ? AdoptSnapshot(record)
                                                        : JoinFork(record);
    head_since_ = result.offset + 1;
  } catch (const codec_error&) {
    result.outcome = apply_outcome::kVoidBadRules;
  }
}

// A snapshot newer than the head means that a reset of the log lost records
// that the author of the snapshot had applied.
apply_outcome revision_chain::AdoptSnapshot(const snapshot_record& record) {
  head_ = record.id == known_.id ? known_ : FromSnapshotRecord(record);
  return apply_outcome::kAdopted;
}

// Two revisions have the same number because a reset of the log lost the first
// one. A node must not go from either to the other, so a new revision with the
// text that was published last follows both.
apply_outcome revision_chain::JoinFork(const snapshot_record& record) {
  const revision other = FromSnapshotRecord(record);
  const auto order = [](const revision& r) {
    return std::pair(r.published_at, r.id.chain);
  };
  const revision& last = order(other) > order(head_) ? other : head_;
  const uint64_t number = head_.id.number + 1;
  head_ = {{number, JoinedChain(other.id.chain, head_.id.chain)},
           last.author,
           last.published_at,
           MakeSnapshot(number, last.snapshot->text)};
  return apply_outcome::kJoined;
}

void revision_chain::SetHead(revision head, uint64_t offset) {
  head_ = std::move(head);
  head_since_ = offset + 1;
}

}  // namespace peridotarch
