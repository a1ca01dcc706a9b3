#include "request/claimer.h"

#include <algorithm>

#include "core/invariant.h"

namespace peridotarch {

claimer::claimer(uint64_t writer, key_window window, claim_limits limits)
    : writer_(writer),
      limits_(limits),
      table_(window),
      timeout_(limits.append_timeout) {}

uint64_t claimer::Submit(const request_key& key, millis deadline, millis now,
                         millis wall) {
  const uint64_t submission = ++submissions_;
  if (const auto known = Known(submission, key, wall)) {
    outcomes_.push_back(*known);
    return submission;
  }
  if (deadline <= now || waiting_.size() >= limits_.max_waiting) {
    const reason why =
        deadline <= now ? reason::kDeadlineExpired : reason::kQueueFull;
    outcomes_.push_back({submission, false, why, 0});
    return submission;
  }
  waiting_.emplace(submission, waiting_claim{key, deadline, table_.position(),
                                             false, std::nullopt});
  return submission;
}

// What can be answered without a claim. A claim that has been in flight for
// longer than any route allows has lost its holder.
std::optional<claim_outcome> claimer::Known(uint64_t submission,
                                            const request_key& key,
                                            millis wall) const {
  const claim_view view = table_.Find(key.id);
  const bool ours = view.holder == claim_id{writer_, submission};
  if (view.held == claim_view::state::kCompleted) {
    return claim_outcome{submission, false, reason::kKeyAlreadyRan,
                         view.status};
  }
  if (view.held == claim_view::state::kUnknown) {
    return claim_outcome{submission, false, reason::kKeyOutcomeUnknown, 0};
  }
  if (view.held == claim_view::state::kClaimed && !ours) {
    const bool fresh = wall - view.since < limits_.max_run_time;
    return claim_outcome{
        submission, false,
        fresh ? reason::kKeyRunning : reason::kKeyOutcomeUnknown, 0};
  }
  if (table_.IsTooFarAhead(key, wall)) {
    return claim_outcome{submission, false, reason::kKeyInFuture, 0};
  }
  if (table_.IsExpired(key, wall)) {
    return claim_outcome{submission, false, reason::kKeyExpired, 0};
  }
  return std::nullopt;
}

void claimer::Complete(uint64_t submission, int status) {
  const auto held = held_.find(submission);
  Check(held != held_.end(), invariant::kAtMostOnce);
  if (held == held_.end()) {
    return;
  }
  AddNote({claim_kind::kCompleted, held->second, submission, status}, millis());
  held_.erase(held);
}

// A caller may have sent the key to several nodes at once. The delay lets such
// a submission arrive while the key is still held, so that it is not run after
// its twin was reported as not run.
void claimer::Release(uint64_t submission, millis now) {
  const auto held = held_.find(submission);
  Check(held != held_.end(), invariant::kNotRun);
  if (held == held_.end()) {
    return;
  }
  AddNote({claim_kind::kReleased, held->second, submission},
          now + limits_.release_delay);
  held_.erase(held);
}

void claimer::MarkUnknown(uint64_t submission) {
  const auto held = held_.find(submission);
  if (held == held_.end()) {
    return;
  }
  AddNote({claim_kind::kUnknown, held->second, submission}, millis());
  held_.erase(held);
}

// A note that is dropped leaves its key claimed: repeats are told that it may
// have run, which is true.
void claimer::AddNote(const claim_entry& entry, millis not_before) {
  if (notes_.size() < limits_.max_waiting) {
    notes_[entry.sequence] = {entry, not_before, std::nullopt};
  }
}

void claimer::OnAppendEnded() { in_flight_ = false; }

void claimer::Read(const log_page& page, millis now, millis wall) {
  const claim_page_result result = table_.ApplyPage(page, wall);
  NoteWritten(result.records);
  NoteLost(result.lost);
  ForgetWrittenNotes();
  Settle(now, wall);
}

claimer_actions claimer::Tick(millis now, millis wall) {
  Settle(now, wall);
  claimer_actions step;
  step.append = NextAppend(now);
  step.outcomes = std::exchange(outcomes_, {});
  return step;
}

// Reading a record back is the better answer to its append.
void claimer::NoteWritten(const std::vector<claim_id>& records) {
  for (const claim_id& record : records) {
    if (record == claim_id{writer_, appends_}) {
      in_flight_ = false;
      timeout_ = limits_.append_timeout;
    }
  }
}

void claimer::NoteLost(const std::vector<claim_id>& lost) {
  for (const claim_id& who : lost) {
    const auto claim = waiting_.find(who.sequence);
    if (who.writer == writer_ && claim != waiting_.end()) {
      claim->second.lost = true;
    }
  }
}

void claimer::Settle(millis now, millis wall) {
  for (auto claim = waiting_.begin(); claim != waiting_.end();) {
    const bool settled = SettleOne(claim->first, claim->second, now, wall);
    claim = settled ? waiting_.erase(claim) : std::next(claim);
  }
}

// The deadline goes first: a claim that is read back too late is released, not
// won. A lost claim needs no release, as its key has a holder already; yet that
// holder may release it, and then a late duplicate of ours must not win.
bool claimer::SettleOne(uint64_t submission, const waiting_claim& claim,
                        millis now, millis wall) {
  const claim_id own{writer_, submission};
  std::optional<claim_outcome> outcome = Known(submission, claim.key, wall);
  const claim_view view = table_.Find(claim.key.id);
  if (!outcome && claim.lost) {
    outcome = {submission, false, reason::kKeyRunning, 0};
  }
  if (!outcome && claim.deadline <= now) {
    outcome = {submission, false, reason::kLogAway, 0};
  }
  if (!outcome && view.held == claim_view::state::kClaimed) {
    Check(view.holder == own, invariant::kAtMostOnce);
    held_.emplace(submission, claim.key);
    outcomes_.push_back({submission, true, reason::kAnswered, 0});
    return true;
  }
  if (!outcome) {
    return false;
  }
  if (claim.sent) {
    AddNote({claim_kind::kReleased, claim.key, submission}, now);
  }
  outcomes_.push_back(*outcome);
  return true;
}

bool claimer::Written(const claim_entry& entry) const {
  if (table_.IsForgotten(entry.key)) {
    return true;
  }
  const claim_id own{writer_, entry.sequence};
  const claim_view view = table_.Find(entry.key.id);
  if (entry.kind == claim_kind::kReleased) {
    return table_.IsReleased(entry.key.id, own);
  }
  return view.held == claim_view::state::kCompleted ||
         view.held == claim_view::state::kUnknown;
}

void claimer::ForgetWrittenNotes() {
  std::erase_if(notes_, [&](const auto& n) { return Written(n.second.entry); });
}

bool claimer::Due(const std::optional<millis>& sent, millis now) const {
  return !sent || now - *sent >= timeout_;
}

// A log that is slow or away gets fewer appends, not more.
std::optional<std::string> claimer::NextAppend(millis now) {
  if (in_flight_ && now - *last_append_ >= timeout_) {
    in_flight_ = false;
    timeout_ = std::min(timeout_ * 2, limits_.append_timeout_max);
  }
  const bool early =
      last_append_ && now - *last_append_ < limits_.append_interval;
  if (in_flight_ || early || !table_.ready()) {
    return std::nullopt;
  }
  claim_batch batch{writer_, appends_ + 1, {}};
  for (auto& [submission, pending] : notes_) {
    if (batch.entries.size() < limits_.max_entries &&
        now >= pending.not_before && Due(pending.sent, now)) {
      batch.entries.push_back(pending.entry);
      pending.sent = now;
    }
  }
  for (auto& [submission, claim] : waiting_) {
    if (batch.entries.size() < limits_.max_entries && Due(claim.sent, now)) {
      batch.entries.push_back(
          {claim_kind::kClaim, claim.key, submission, 0, claim.read_position});
      claim.sent = now;
    }
  }
  if (batch.entries.empty()) {
    return std::nullopt;
  }
  ++appends_;
  in_flight_ = true;
  last_append_ = now;
  return EncodeClaims(batch);
}

}  // namespace peridotarch
