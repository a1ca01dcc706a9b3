#include "config/publisher.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr millis kReadWait{1000};
constexpr millis kAppendRetryInterval{3000};
constexpr uint64_t kMaxAttempts = 5;

// An attempt that follows a void record is a new record with an id of its own.
record_id AttemptId(const record_id& id, uint64_t attempt) {
  std::string text(id.begin(), id.end());
  text += std::to_string(attempt);
  const digest hash = Sha256(text);
  record_id result;
  std::copy_n(hash.begin(), result.size(), result.begin());
  return result;
}

}  // namespace

publisher::publisher(publish_request request)
    : request_(std::move(request)), follower_(request_.fleet_key) {
  if (request_.base) {
    follower_.Watch(*request_.base);
  }
}

publish_step publisher::Next(millis now) {
  if (outcome_ == apply_outcome::kAccepted) {
    return MakeResult(publish_outcome::kAccepted);
  }
  if (follower_.found_no_snapshot()) {
    follower_.StartAtOldest();
  }
  const bool is_pending = !pending_bytes_.empty();
  if (follower_.caught_up() && !is_pending) {
    if (const auto end = DecideNext()) {
      return *end;
    }
    if (!pending_bytes_.empty()) {
      appended_at_ = now;
      return publish_append{pending_bytes_};
    }
  }
  if (now >= request_.deadline) {
    if (!pending_bytes_.empty()) {
      return MakeResult(publish_outcome::kUnknown);
    }
    return MakeResult(follower_.caught_up() ? publish_outcome::kLogBehind
                                            : publish_outcome::kLogAway);
  }
  if (is_pending && follower_.caught_up() &&
      now - *appended_at_ >= kAppendRetryInterval) {
    appended_at_ = now;
    return publish_append{pending_bytes_};
  }
  return publish_read{follower_.next_offset(),
                      follower_.caught_up() ? kReadWait : millis(0)};
}

void publisher::OnPage(const log_page& page, millis now) {
  const follow_result result = follower_.OnPage(page, now);
  if (pending_bytes_.empty()) {
    return;
  }
  for (const applied_record& applied : result.applied) {
    const bool own = applied.id == pending_revision_.id;
    if (own && applied.outcome == apply_outcome::kAccepted) {
      outcome_ = applied.outcome;
      return;
    }
  }
  if (follower_.scan_start() > first_offset_) {
    return;  // The log may no longer hold the offset of the record.
  }
  // The head is no longer the base of the record, so the record is void
  // whenever it arrives, and the publish can be decided again.
  if (follower_.caught_up() &&
      follower_.head().id.number >= pending_revision_.id.number) {
    pending_bytes_.clear();
    request_.base = pending_revision_.id.number - 1;
  }
}

void publisher::OnAppended(millis now) { appended_at_ = now; }

void publisher::OnError(millis /*now*/) {}

publish_result publisher::MakeResult(publish_outcome outcome) const {
  publish_result result;
  result.outcome = outcome;
  result.head = outcome_ ? pending_revision_ : follower_.head();
  result.text = request_.text;
  result.rebased = is_rebased_;
  return result;
}

// Returns the final result, or nothing if there is a record to append or the
// log's answer is older than the base and the log must be read again.
std::optional<publish_result> publisher::DecideNext() {
  const revision& head = follower_.head();
  if (head.snapshot->text == request_.text) {
    return MakeResult(publish_outcome::kUnchanged);
  }
  if (!request_.base && head.id.number > 0) {
    return MakeResult(publish_outcome::kNeedBase);
  }
  if (request_.base.value_or(0) > head.id.number) {
    return std::nullopt;
  }
  if (request_.base.value_or(0) < head.id.number) {
    if (auto end = ResolveConflict()) {
      return end;
    }
  }
  pending_bytes_ = EncodePublish();
  return std::nullopt;
}

// Returns the conflict, or nothing if the edits were rebased onto the head.
std::optional<publish_result> publisher::ResolveConflict() {
  publish_result result = MakeResult(publish_outcome::kConflict);
  result.base = follower_.watched();
  if (!result.base) {
    return result;
  }
  const revision head = follower_.head();
  const std::string& base_text = result.base->snapshot->text;
  result.mine = DiffLines(base_text, request_.text);
  result.theirs = DiffLines(base_text, head.snapshot->text);
  const auto merged = MergeEdits(result.mine, result.theirs);
  if (!merged) {
    return result;
  }
  try {
    std::string text = ApplyEdits(base_text, *merged);
    MakeSnapshot(head.id.number + 1, text);
    result.mergeable = true;
    if (!request_.rebase || ++attempt_ >= kMaxAttempts) {
      return result;
    }
    request_.text = std::move(text);
  } catch (const codec_error&) {
    return result;  // Each text is valid, but the merged one is not.
  }
  request_.base = head.id.number;
  is_rebased_ = true;
  follower_.Watch(head.id.number);
  return std::nullopt;
}

std::string publisher::EncodePublish() {
  const revision& head = follower_.head();
  publish_record record;
  record.id = AttemptId(request_.id, attempt_);
  record.base = head.id;
  record.position = follower_.position();
  record.text_digest = Sha256(request_.text);
  record.edits = DiffLines(head.snapshot->text, request_.text);
  record.author = request_.author;
  record.published_at = request_.published_at;
  std::string bytes = EncodeRecord(record, request_.fleet_key);
  const decoded_record decoded = DecodeRecord(bytes, request_.fleet_key);
  const uint64_t number = head.id.number + 1;
  pending_revision_ = {
      {number, std::get<publish_record>(decoded.record).new_chain},
      request_.author,
      request_.published_at,
      MakeSnapshot(number, request_.text)};
  first_offset_ = follower_.next_offset();
  return bytes;
}

}  // namespace peridotarch
