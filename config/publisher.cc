#include "config/publisher.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr millis kReadWait{1000};
constexpr millis kAppendRetryInterval{3000};
constexpr uint64_t kMaxAttempts = 5;

// Each attempt after a void one is a record of its own.
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
    : request_(std::move(request)), log_(request_.fleet_key) {
  if (request_.base) {
    log_.Watch(*request_.base);
  }
}

publish_step publisher::Next(millis now) {
  if (folded_ == apply_outcome::kAccepted) {
    return End(publish_outcome::kAccepted);
  }
  if (log_.found_no_snapshot()) {
    log_.StartAtOldest();
  }
  const bool append_pending = !bytes_.empty();
  if (log_.caught_up() && !append_pending) {
    if (const auto end = Decide()) {
      return *end;
    }
    if (!bytes_.empty()) {
      appended_at_ = now;
      return publish_append{bytes_};
    }
  }
  if (now >= request_.deadline) {
    if (!bytes_.empty()) {
      return End(publish_outcome::kUnknown);
    }
    return End(log_.caught_up() ? publish_outcome::kLogBehind
                                : publish_outcome::kLogAway);
  }
  if (append_pending && log_.caught_up() &&
      now - *appended_at_ >= kAppendRetryInterval) {
    appended_at_ = now;
    return publish_append{bytes_};
  }
  return publish_read{log_.next_offset(),
                      log_.caught_up() ? kReadWait : millis(0)};
}

void publisher::OnPage(const log_page& page, millis now) {
  const follow_result result = log_.OnPage(page, now);
  if (bytes_.empty()) {
    return;
  }
  for (const applied_record& applied : result.applied) {
    const bool own = applied.id == made_.id;
    if (own && applied.outcome == apply_outcome::kAccepted) {
      folded_ = applied.outcome;
      return;
    }
  }
  if (log_.scan_start() > appended_from_) {
    return;  // The place where the record may stand is no longer kept.
  }
  // With another head than its base the record is void, now or whenever it
  // arrives, so the publish can be decided anew.
  if (log_.caught_up() && log_.head().id.number >= made_.id.number) {
    bytes_.clear();
    request_.base = made_.id.number - 1;
  }
}

void publisher::OnAppended(millis now) { appended_at_ = now; }

void publisher::OnError(millis /*now*/) {}

publish_result publisher::End(publish_outcome outcome) const {
  publish_result result;
  result.outcome = outcome;
  result.head = folded_ ? made_ : log_.head();
  result.text = request_.text;
  result.rebased = rebased_;
  return result;
}

// Returns the end, or nothing: then there is a record to append, or the log's
// answer is older than the base and must be read again.
std::optional<publish_result> publisher::Decide() {
  const revision& head = log_.head();
  if (head.snapshot->text == request_.text) {
    return End(publish_outcome::kUnchanged);
  }
  if (!request_.base && head.id.number > 0) {
    return End(publish_outcome::kNeedBase);
  }
  if (request_.base.value_or(0) > head.id.number) {
    return std::nullopt;
  }
  if (request_.base.value_or(0) < head.id.number) {
    if (auto end = Conflict()) {
      return end;
    }
  }
  bytes_ = Encode();
  return std::nullopt;
}

// Returns nothing when the edits were carried over to the head.
std::optional<publish_result> publisher::Conflict() {
  publish_result result = End(publish_outcome::kConflict);
  result.base = log_.watched();
  if (!result.base) {
    return result;
  }
  const revision head = log_.head();
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
    return result;  // Each edit is sound alone, but not both together.
  }
  request_.base = head.id.number;
  rebased_ = true;
  log_.Watch(head.id.number);
  return std::nullopt;
}

std::string publisher::Encode() {
  const revision& head = log_.head();
  publish_record record;
  record.id = AttemptId(request_.id, attempt_);
  record.base = head.id;
  record.position = log_.position();
  record.text_digest = Sha256(request_.text);
  record.edits = DiffLines(head.snapshot->text, request_.text);
  record.author = request_.author;
  record.published_at = request_.published_at;
  std::string bytes = EncodeRecord(record, request_.fleet_key);
  const decoded_record decoded = DecodeRecord(bytes, request_.fleet_key);
  const uint64_t number = head.id.number + 1;
  made_ = {{number, std::get<publish_record>(decoded.record).new_chain},
           request_.author,
           request_.published_at,
           MakeSnapshot(number, request_.text)};
  appended_from_ = log_.next_offset();
  return bytes;
}

}  // namespace peridotarch
