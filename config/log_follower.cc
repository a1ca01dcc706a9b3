#include "config/log_follower.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr uint64_t kFirstWindowRecords = 256;
constexpr uint64_t kWindowGrowth = 8;

}  // namespace

log_follower::log_follower(std::string fleet_key, bool read_all)
    : fleet_key_(fleet_key),
      read_all_(read_all),
      chain_(std::move(fleet_key)),
      window_records_(read_all ? UINT64_MAX : kFirstWindowRecords) {}

follow_result log_follower::OnPage(const log_page& page, millis now) {
  follow_result result;
  if (IsStale(page, now)) {
    result.is_stale = true;
    return result;
  }
  oldest_ = page.first;
  next_ = page.next;
  const revision_id before = chain_.head().id;
  if (is_verifying_ && has_scan_ && !MatchesRecent(page)) {
    has_scan_ = false;
  }
  is_verifying_ = false;
  // The search for a snapshot ended with the offsets of an older page. Records
  // below its start mean that the log has been reset since.
  if (has_lost_base_ && page.first < scan_start_) {
    has_scan_ = false;
  }
  if (!has_scan_) {
    RestartScan();
  } else if (page.first > cursor_) {
    ScanFrom(page.first);
  }
  for (const log_record& record : page.records) {
    if (record.offset == cursor_) {
      ApplyRecord(record, result);
    }
  }
  caught_up_ = has_state_ && cursor_ >= page.next;
  if (!has_state_ && cursor_ >= page.next) {
    WidenWindow();
  }
  result.head_changed = has_state_ && chain_.head().id != before;
  return result;
}

// An answer from a log replica that lags and a log that was reset to lower
// offsets look the same at first, so the log counts as reset only after
// kResetAfter. A rescan is harmless if a replica only lagged: records that took
// effect are void the second time.
bool log_follower::IsStale(const log_page& page, millis now) {
  if (!has_scan_ || page.next >= cursor_) {
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
  rescanned_below_ = 0;
  has_scan_ = false;
  return false;
}

void log_follower::RestartScan() {
  has_scan_ = true;
  window_records_ = read_all_ ? UINT64_MAX : kFirstWindowRecords;
  ScanWindow();
}

void log_follower::Verify() { is_verifying_ = has_state_; }

// Detects a log that was reset and has grown to the same length since, which
// looks unchanged to a reader at its end.
bool log_follower::MatchesRecent(const log_page& page) const {
  for (const log_record& record : page.records) {
    const uint64_t known = recent_hashes_[record.offset % kRecentRecords];
    if (record.offset < cursor_ && known != 0 && known != Hash64(record.data)) {
      return false;
    }
  }
  return true;
}

void log_follower::Rescan() { has_scan_ = false; }

void log_follower::ScanWindow() {
  const uint64_t kept = next_ - std::min(oldest_, next_);
  ScanFrom(kept <= window_records_ ? oldest_ : next_ - window_records_);
}

// The stream begins at offset 0 with the empty revision, so a scan from there
// needs no snapshot.
void log_follower::ScanFrom(uint64_t from) {
  scan_start_ = from;
  cursor_ = from;
  last_hash_ = 0;
  recent_hashes_.fill(0);
  scanned_hashes_.clear();
  caught_up_ = false;
  found_no_snapshot_ = false;
  last_snapshot_.reset();
  has_lost_base_ = false;
  has_state_ = from == 0;
  if (has_state_) {
    chain_.Start(EmptyRevision(), 0);
    KeepWatched();
  }
}

void log_follower::WidenWindow() {
  if (scan_start_ <= oldest_) {
    found_no_snapshot_ = true;
    return;
  }
  window_records_ *= kWindowGrowth;
  ScanWindow();
}

void log_follower::StartFrom(revision head, log_position position) {
  // After a reset of the log, peers may still send positions from before it.
  const bool lies_outside = has_scan_ && (position.end_offset < oldest_ ||
                                          position.end_offset > next_);
  if (has_state_ || lies_outside) {
    return;
  }
  // A snapshot that a peer applied before a reset of the log may still stand in
  // it, but new readers cannot start from it.
  if (found_no_snapshot_ && position.last_snapshot < next_) {
    position.last_snapshot.reset();
  }
  ScanFrom(position.end_offset);
  chain_.Start(std::move(head), position.end_offset);
  last_hash_ = position.last_hash;
  if (position.end_offset > 0) {
    recent_hashes_[(position.end_offset - 1) % kRecentRecords] =
        position.last_hash;
  }
  is_verifying_ = true;
  last_snapshot_ = position.last_snapshot;
  has_scan_ = true;
  has_state_ = true;
}

void log_follower::StartAtOldest() {
  ScanFrom(oldest_);
  chain_.Start(EmptyRevision(), oldest_);
  has_state_ = true;
  has_lost_base_ = oldest_ > 0;
}

void log_follower::ApplyRecord(const log_record& record,
                               follow_result& result) {
  if (!has_state_ && TryStartAtSnapshot(record)) {
    return;
  }
  const uint64_t hash = Hash64(record.data);
  recent_hashes_[cursor_ % kRecentRecords] = hash;
  ++cursor_;
  last_hash_ = hash;
  if (!has_state_) {
    scanned_hashes_.push_back(last_hash_);
    return;
  }
  applied_record applied =
      chain_.Apply(record.offset, record.appended_at, record.data);
  if (applied.is_start_point && !IsContradictedBy(applied.position)) {
    last_snapshot_ = std::min(record.offset, applied.position.end_offset);
  }
  KeepWatched();
  const bool contradicts_head =
      !IsDueToLostBase(applied.outcome) &&
      (applied.contradicts_head || IsContradictedBy(applied.position)) &&
      record.offset >= rescanned_below_;
  if (applied.is_start_point) {
    has_lost_base_ = false;
  }
  result.applied.push_back(std::move(applied));
  if (contradicts_head) {
    rescanned_below_ = record.offset + 1;
    RestartScan();
  }
}

// If the log has dropped all snapshots and the records before them, the bases
// of the records that it still holds are unknown. That is no sign of a reset;
// another scan would find the same, and operators who retry would cause scans
// without end. A snapshot of an older revision, appended to repair a reset,
// does not change that; a snapshot of the head does.
bool log_follower::IsDueToLostBase(apply_outcome outcome) const {
  return has_lost_base_ && (outcome == apply_outcome::kVoidUnknownBase ||
                            outcome == apply_outcome::kVoidStaleBase);
}

void log_follower::Watch(uint64_t number) {
  watched_number_ = number;
  watched_.reset();
  KeepWatched();
}

void log_follower::KeepWatched() {
  if (has_state_ && chain_.head().id.number == watched_number_) {
    watched_ = chain_.head();
  }
}

// A snapshot says how far its author had applied the log. If that position lies
// within the window, records are applied from there on, so none is missed.
bool log_follower::TryStartAtSnapshot(const log_record& record) {
  const decoded_record decoded = DecodeRecord(record.data, fleet_key_);
  const auto* snapshot = std::get_if<snapshot_record>(&decoded.record);
  if (snapshot == nullptr || !snapshot->is_head ||
      snapshot->position.end_offset > record.offset ||
      !IsInThisLog(snapshot->position)) {
    return false;
  }
  try {
    chain_.Start(FromSnapshotRecord(*snapshot), snapshot->position.end_offset);
  } catch (const codec_error&) {
    return false;
  }
  has_state_ = true;
  KeepWatched();
  cursor_ = snapshot->position.end_offset;
  last_hash_ = snapshot->position.last_hash;
  scanned_hashes_.clear();
  return true;
}

// A record names the last record that its author had applied. If this reader
// has another record at that offset, one of the two applied a log from before a
// reset.
bool log_follower::IsContradictedBy(log_position position) const {
  if (position.last_hash == 0 || position.end_offset == 0 ||
      position.end_offset >= cursor_ ||
      cursor_ - position.end_offset >= kRecentRecords) {
    return false;
  }
  const uint64_t known =
      recent_hashes_[(position.end_offset - 1) % kRecentRecords];
  return known != 0 && known != position.last_hash;
}

// A position from before a reset does not match the hash of the record there.
// The record just below the oldest one in the log can no longer be compared.
bool log_follower::IsInThisLog(log_position position) const {
  if (position.end_offset <= scan_start_) {
    return position.end_offset == oldest_ && scan_start_ == oldest_;
  }
  const uint64_t index = position.end_offset - scan_start_ - 1;
  return index < scanned_hashes_.size() &&
         scanned_hashes_[index] == position.last_hash;
}

}  // namespace peridotarch
