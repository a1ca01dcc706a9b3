#include "request/claim_table.h"

#include <algorithm>

namespace peridotarch {

namespace {

constexpr int kSweepsPerMaxAge = 16;

}  // namespace

// A page either continues at position_ or leaves a gap, which is noted. A page
// that ends before position_ comes from a lagging replica and holds nothing
// new.
claim_page_result claim_table::ApplyPage(const log_page& page, millis wall) {
  claim_page_result result;
  if (page.next < position_) {
    return result;
  }
  const bool gap = ready_ ? page.first > position_ : page.first > 0;
  if (gap) {
    NoteGap(page, wall);
  }
  ready_ = true;
  for (const log_record& record : page.records) {
    if (record.offset < position_) {
      continue;
    }
    position_ = record.offset + 1;
    log_time_ = std::max(log_time_, record.appended_at);
    const auto batch = DecodeClaims(record.data);
    if (!batch) {
      ++invalid_records_;
      continue;
    }
    result.records.push_back({batch->writer, batch->number});
    for (const claim_entry& entry : batch->entries) {
      const claim_id submission{batch->writer, entry.sequence};
      if (!Apply(submission, entry, record)) {
        result.lost.push_back(submission);
      }
    }
  }
  if (log_time_ >= next_sweep_at_) {
    Sweep();
  }
  return result;
}

// The records before the page can no longer be read. Whether a key was claimed
// in them is unknown here, so such keys count as expired; what the table
// already knows stays true.
void claim_table::NoteGap(const log_page& page, millis wall) {
  const millis from = page.records.empty() ? wall + window_.max_skew
                                           : page.records.front().appended_at;
  covered_from_ = std::max(covered_from_, from);
  position_ = std::max(position_, page.first);
}

claim_view claim_table::Find(const key_digest& id) const {
  const auto found = keys_.find(id);
  return found == keys_.end() ? claim_view() : found->second.view;
}

bool claim_table::IsReleased(const key_digest& id, claim_id submission) const {
  const auto found = keys_.find(id);
  if (found == keys_.end()) {
    return false;
  }
  const auto& released = found->second.released;
  return std::find(released.begin(), released.end(), submission) !=
         released.end();
}

// A node accepts a key only if its issue time is at most `max_lead` ahead of
// the node's clock, which is off by at most `max_skew`, so the log time of the
// key's first claim is issued - max_lead - 2 * max_skew or later.
bool claim_table::IsExpired(const request_key& key, millis wall) const {
  const millis now = std::max(wall, log_time_);
  if (key.issued + window_.max_age < now) {
    return true;
  }
  if (covered_from_ == millis()) {
    return false;
  }
  return key.issued - window_.max_lead - window_.max_skew * 2 < covered_from_;
}

// A key is forgotten only once every node refuses it as expired, even a node
// whose clock is behind.
millis claim_table::OldestKept() const {
  return log_time_ - window_.max_age - window_.max_skew * 2;
}

// Lost answers to appends cause duplicate and late entries: a repeated entry
// has no effect, and a claim that arrives after its release is void. Returns
// false for a claim that does not hold the key.
bool claim_table::Apply(claim_id submission, const claim_entry& entry,
                        const log_record& record) {
  if (IsForgotten(entry.key)) {
    return entry.kind != claim_kind::kClaim;
  }
  key_state& key = keys_[entry.key.id];
  key.issued = entry.key.issued;
  claim_view& view = key.view;
  const bool is_free = view.state == claim_view::claim_state::kFree;
  const bool is_holder = !is_free && view.holder == submission;
  const bool can_claim = is_free && !IsReleased(entry.key.id, submission);
  switch (entry.kind) {
    case claim_kind::kClaim:
      if (can_claim && entry.read_position >= key.claimable_from) {
        view = {claim_view::claim_state::kClaimed, submission, 0,
                record.appended_at};
        return true;
      }
      return is_holder;
    case claim_kind::kCompleted:
      if (can_claim || is_holder) {
        view = {claim_view::claim_state::kCompleted, submission, entry.status,
                record.appended_at};
      }
      return true;
    case claim_kind::kUnknown:
      if (is_holder && view.state == claim_view::claim_state::kClaimed) {
        view.state = claim_view::claim_state::kUnknown;
      }
      return true;
    case claim_kind::kReleased:
      Release(key, submission, record);
      return true;
  }
  return true;
}

// The caller was told not_run before the release of its claim was written.
// After that, only a submission that came to a node which had read the release
// may run the request: an earlier one could have been pending when the caller
// was told not_run.
void claim_table::Release(key_state& key, claim_id submission,
                          const log_record& record) {
  const auto& released = key.released;
  if (std::find(released.begin(), released.end(), submission) !=
      released.end()) {
    return;
  }
  claim_view& view = key.view;
  if (view.state != claim_view::claim_state::kFree &&
      view.holder == submission) {
    if (view.state != claim_view::claim_state::kClaimed) {
      return;
    }
    view = {};
    key.claimable_from = record.offset + 1;
  }
  key.released.push_back(submission);
}

void claim_table::Sweep() {
  const millis oldest = OldestKept();
  std::erase_if(
      keys_, [&](const auto& entry) { return entry.second.issued < oldest; });
  next_sweep_at_ = log_time_ + window_.max_age / kSweepsPerMaxAge;
}

}  // namespace peridotarch
