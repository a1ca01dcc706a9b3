#include "config/log_follower.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr uint64_t kFirstWindow = 256;  // records
constexpr uint64_t kWindowGrowth = 8;

}  // namespace

log_follower::log_follower(std::string fleet_key, bool read_all)
    : fleet_key_(fleet_key),
      read_all_(read_all),
      chain_(std::move(fleet_key)),
      window_(read_all ? UINT64_MAX : kFirstWindow) {}

follow_result log_follower::OnPage(const log_page& page, millis now) {
  follow_result result;
  if (IsStale(page, now)) {
    result.is_stale = true;
    return result;
  }
  oldest_ = page.first;
  next_ = page.next;
  const revision_id before = chain_.head().id;
  if (verify_ && positioned_ && !HoldsLast(page)) {
    positioned_ = false;
  }
  verify_ = false;
  if (!positioned_) {
    Position();
  } else if (page.first > cursor_) {
    ScanFrom(page.first);
  }
  for (const log_record& record : page.records) {
    if (record.offset == cursor_) {
      Fold(record, result);
    }
  }
  caught_up_ = anchored_ && cursor_ >= page.next;
  if (!anchored_ && cursor_ >= page.next) {
    Widen();
  }
  result.head_changed = anchored_ && chain_.head().id != before;
  return result;
}

// An older replica's answer and a log that was reset to lower offsets look the
// same at first. Folding anew is harmless if it was the former: records that
// took effect are void the second time.
bool log_follower::IsStale(const log_page& page, millis now) {
  if (!positioned_ || page.next >= cursor_) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now - *behind_since_ < kResetAfter) {
    return true;
  }
  behind_since_.reset();
  doubted_ = 0;
  positioned_ = false;
  return false;
}

void log_follower::Position() {
  positioned_ = true;
  window_ = read_all_ ? UINT64_MAX : kFirstWindow;
  ScanWindow();
}

void log_follower::Verify() { verify_ = anchored_; }

// A log that was reset and has grown to the same length since looks unchanged
// to a reader at its end.
bool log_follower::HoldsLast(const log_page& page) const {
  for (const log_record& record : page.records) {
    const uint64_t known = recent_[record.offset % kRecent];
    if (record.offset < cursor_ && known != 0 && known != Hash64(record.data)) {
      return false;
    }
  }
  return true;
}

void log_follower::Rescan() { positioned_ = false; }

void log_follower::ScanWindow() {
  const uint64_t kept = next_ - std::min(oldest_, next_);
  ScanFrom(kept <= window_ ? oldest_ : next_ - window_);
}

// Offset 0 is the start of the stream, so the fold's state there is known.
void log_follower::ScanFrom(uint64_t from) {
  scan_start_ = from;
  cursor_ = from;
  last_hash_ = 0;
  recent_.fill(0);
  scanned_.clear();
  caught_up_ = false;
  exhausted_ = false;
  last_snapshot_.reset();
  anchored_ = from == 0;
  if (anchored_) {
    chain_.Start(EmptyRevision(), 0);
    Keep();
  }
}

void log_follower::Widen() {
  if (scan_start_ <= oldest_) {
    exhausted_ = true;
    return;
  }
  window_ *= kWindowGrowth;
  ScanWindow();
}

void log_follower::StartFrom(revision head, log_position position) {
  // After a reset the peers may still name places of the log before it.
  const bool lies_outside = positioned_ && (position.end_offset < oldest_ ||
                                            position.end_offset > next_);
  if (anchored_ || lies_outside) {
    return;
  }
  ScanFrom(position.end_offset);
  chain_.Start(std::move(head), position.end_offset);
  last_hash_ = position.last_hash;
  if (position.end_offset > 0) {
    recent_[(position.end_offset - 1) % kRecent] = position.last_hash;
  }
  verify_ = true;
  last_snapshot_ = position.last_snapshot;
  positioned_ = true;
  anchored_ = true;
}

void log_follower::StartAtOldest() {
  ScanFrom(oldest_);
  chain_.Start(EmptyRevision(), oldest_);
  anchored_ = true;
}

void log_follower::Fold(const log_record& record, follow_result& result) {
  if (!anchored_ && TryAnchor(record)) {
    return;
  }
  const uint64_t hash = Hash64(record.data);
  recent_[cursor_ % kRecent] = hash;
  ++cursor_;
  last_hash_ = hash;
  if (!anchored_) {
    scanned_.push_back(last_hash_);
    return;
  }
  applied_record applied =
      chain_.Apply(record.offset, record.appended_at, record.data);
  if (applied.is_start_point) {
    last_snapshot_ = record.offset;
  }
  Keep();
  const bool contradicts_head =
      (applied.contradicts_head || Contradicts(applied.position)) &&
      record.offset >= doubted_;
  result.applied.push_back(std::move(applied));
  if (contradicts_head) {
    doubted_ = record.offset + 1;
    Position();
  }
}

void log_follower::Watch(uint64_t number) {
  watch_ = number;
  watched_.reset();
  Keep();
}

void log_follower::Keep() {
  if (anchored_ && chain_.head().id.number == watch_) {
    watched_ = chain_.head();
  }
}

// A snapshot says how far its author had folded the log. If that lies within
// the window, the fold goes on from there: nothing between is missed.
bool log_follower::TryAnchor(const log_record& record) {
  const decoded_record decoded = DecodeRecord(record.data, fleet_key_);
  const auto* snapshot = std::get_if<snapshot_record>(&decoded.record);
  if (snapshot == nullptr || !snapshot->is_head ||
      snapshot->position.end_offset > record.offset ||
      !IsOfThisLog(snapshot->position)) {
    return false;
  }
  try {
    chain_.Start(FromSnapshotRecord(*snapshot), snapshot->position.end_offset);
  } catch (const codec_error&) {
    return false;
  }
  anchored_ = true;
  Keep();
  cursor_ = snapshot->position.end_offset;
  last_hash_ = snapshot->position.last_hash;
  scanned_.clear();
  return true;
}

// The author of a record names the last record that it had folded; another one
// at that offset means that one of both folded a log from before a reset.
bool log_follower::Contradicts(log_position position) const {
  if (position.last_hash == 0 || position.end_offset == 0 ||
      position.end_offset >= cursor_ ||
      cursor_ - position.end_offset >= kRecent) {
    return false;
  }
  const uint64_t known = recent_[(position.end_offset - 1) % kRecent];
  return known != 0 && known != position.last_hash;
}

// A place in a log that has since been reset names another record there. The
// record just below the oldest one kept can no longer be compared.
bool log_follower::IsOfThisLog(log_position position) const {
  if (position.end_offset <= scan_start_) {
    return position.end_offset == oldest_ && scan_start_ == oldest_;
  }
  const uint64_t index = position.end_offset - scan_start_ - 1;
  return index < scanned_.size() && scanned_[index] == position.last_hash;
}

}  // namespace peridotarch
