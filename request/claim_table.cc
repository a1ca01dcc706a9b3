#include "request/claim_table.h"

#include <algorithm>

namespace peridotarch {

namespace {

constexpr int kSweepsPerWindow = 16;

}  // namespace

// A page is contiguous with what was folded before, or a gap is noted. A
// replica that lags behind our position has nothing to tell.
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
      ++void_records_;
      continue;
    }
    result.records.push_back({batch->writer, batch->number});
    for (const claim_entry& entry : batch->entries) {
      const claim_id who{batch->writer, entry.sequence};
      if (!Apply(who, entry, record)) {
        result.lost.push_back(who);
      }
    }
  }
  if (log_time_ >= next_sweep_) {
    Sweep();
  }
  return result;
}

// Records before the page are lost to us. A key that could have been claimed in
// them cannot be judged from here; what the fold knows stays true.
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

bool claim_table::IsReleased(const key_digest& id, claim_id who) const {
  const auto found = keys_.find(id);
  if (found == keys_.end()) {
    return false;
  }
  const auto& released = found->second.released;
  return std::find(released.begin(), released.end(), who) != released.end();
}

// A node accepts a key only when its issue time is at most `max_lead` before
// the node's clock, which is off by at most `max_skew`: the key's first claim
// got a log time of issued - ahead - 2 * skew or later.
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

// Keys are forgotten only when every node refuses them as expired, also one
// whose clock is behind.
millis claim_table::OldestKept() const {
  return log_time_ - window_.max_age - window_.max_skew * 2;
}

// The three kinds bear the duplicates and late arrivals that lost answers
// cause: an entry repeats without effect, and a claim that lands after its
// release is void. Returns false for a claim that does not hold the key.
bool claim_table::Apply(claim_id who, const claim_entry& entry,
                        const log_record& record) {
  if (IsForgotten(entry.key)) {
    return entry.kind != claim_kind::kClaim;
  }
  key_state& key = keys_[entry.key.id];
  key.issued = entry.key.issued;
  claim_view& view = key.view;
  const bool free = view.held == claim_view::state::kFree;
  const bool holder = !free && view.holder == who;
  const bool open = free && !IsReleased(entry.key.id, who);
  switch (entry.kind) {
    case claim_kind::kClaim:
      if (open && entry.read_position >= key.open_from) {
        view = {claim_view::state::kClaimed, who, 0, record.appended_at};
        return true;
      }
      return holder;
    case claim_kind::kCompleted:
      if (open || holder) {
        view = {claim_view::state::kCompleted, who, entry.status,
                record.appended_at};
      }
      return true;
    case claim_kind::kUnknown:
      if (holder && view.held == claim_view::state::kClaimed) {
        view.held = claim_view::state::kUnknown;
      }
      return true;
    case claim_kind::kReleased:
      Release(key, who, record);
      return true;
  }
  return true;
}

// A caller was told not_run before its holder's release was written. Only a
// submission that came to a node which had read the release may run the key:
// one that came earlier could have been pending when not_run was said.
void claim_table::Release(key_state& key, claim_id who,
                          const log_record& record) {
  const auto& released = key.released;
  if (std::find(released.begin(), released.end(), who) != released.end()) {
    return;
  }
  claim_view& view = key.view;
  if (view.held != claim_view::state::kFree && view.holder == who) {
    if (view.held != claim_view::state::kClaimed) {
      return;
    }
    view = {};
    key.open_from = record.offset + 1;
  }
  key.released.push_back(who);
}

void claim_table::Sweep() {
  const millis oldest = OldestKept();
  std::erase_if(
      keys_, [&](const auto& entry) { return entry.second.issued < oldest; });
  next_sweep_ = log_time_ + window_.max_age / kSweepsPerWindow;
}

}  // namespace peridotarch
