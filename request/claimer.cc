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
  if (const auto known = KnownOutcome(submission, key, wall)) {
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

// Returns the outcome if it is known without a claim. A claim that has been in
// flight for longer than any route allows has lost its holder.
std::optional<claim_outcome> claimer::KnownOutcome(uint64_t submission,
                                                   const request_key& key,
                                                   millis wall) const {
  const claim_view view = table_.Find(key.id);
  const bool is_ours = view.holder == claim_id{writer_, submission};
  if (view.state == claim_view::claim_state::kCompleted) {
    return claim_outcome{submission, false, reason::kKeyAlreadyRan,
                         view.status};
  }
  if (view.state == claim_view::claim_state::kUnknown) {
    return claim_outcome{submission, false, reason::kKeyOutcomeUnknown, 0};
  }
  if (view.state == claim_view::claim_state::kClaimed && !is_ours) {
    const bool may_be_running = wall - view.appended_at < limits_.max_run_time;
    return claim_outcome{
        submission, false,
        may_be_running ? reason::kKeyRunning : reason::kKeyOutcomeUnknown, 0};
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
  const auto held = held_keys_.find(submission);
  Check(held != held_keys_.end(), invariant::kAtMostOnce);
  if (held == held_keys_.end()) {
    return;
  }
  AddPending({claim_kind::kCompleted, held->second, submission, status},
             millis());
  held_keys_.erase(held);
}

// A caller may have sent the key to several nodes at once. The delay lets the
// other submissions arrive while the key is still held, so that none of them
// runs after this one was reported as not run.
void claimer::Release(uint64_t submission, millis now) {
  const auto held = held_keys_.find(submission);
  Check(held != held_keys_.end(), invariant::kNotRun);
  if (held == held_keys_.end()) {
    return;
  }
  AddPending({claim_kind::kReleased, held->second, submission},
             now + limits_.release_delay);
  held_keys_.erase(held);
}

void claimer::MarkUnknown(uint64_t submission) {
  const auto held = held_keys_.find(submission);
  if (held == held_keys_.end()) {
    return;
  }
  AddPending({claim_kind::kUnknown, held->second, submission}, millis());
  held_keys_.erase(held);
}

// If an entry is dropped, its key stays claimed: repeated submissions are told
// that the request may have run, which is true.
void claimer::AddPending(const claim_entry& entry, millis not_before) {
  if (pending_.size() < limits_.max_waiting) {
    pending_[entry.sequence] = {entry, not_before, std::nullopt};
  }
}

void claimer::OnAppendEnded() { in_flight_ = false; }

void claimer::Read(const log_page& page, millis now, millis wall) {
  const claim_page_result result = table_.ApplyPage(page, wall);
  NoteReadBack(result.records);
  MarkLost(result.lost);
  RemoveWritten();
  SettleWaiting(now, wall);
}

claimer_actions claimer::Tick(millis now, millis wall) {
  SettleWaiting(now, wall);
  claimer_actions step;
  step.append = NextAppend(now);
  step.outcomes = std::exchange(outcomes_, {});
  return step;
}

// A record that was read back is proof of its append, even if the answer was
// lost.
void claimer::NoteReadBack(const std::vector<claim_id>& records) {
  for (const claim_id& record : records) {
    if (record == claim_id{writer_, appends_}) {
      in_flight_ = false;
      timeout_ = limits_.append_timeout;
    }
  }
}

void claimer::MarkLost(const std::vector<claim_id>& lost) {
  for (const claim_id& id : lost) {
    const auto claim = waiting_.find(id.sequence);
    if (id.writer == writer_ && claim != waiting_.end()) {
      claim->second.is_lost = true;
    }
  }
}

void claimer::SettleWaiting(millis now, millis wall) {
  for (auto claim = waiting_.begin(); claim != waiting_.end();) {
    const bool settled = SettleClaim(claim->first, claim->second, now, wall);
    claim = settled ? waiting_.erase(claim) : std::next(claim);
  }
}

// The deadline is checked first: a claim that is read back too late is
// released, not won. A lost claim is released too, although its key already has
// a holder: once that holder releases the key, a late duplicate of the lost
// claim must not win.
bool claimer::SettleClaim(uint64_t submission, const waiting_claim& claim,
                          millis now, millis wall) {
  const claim_id own{writer_, submission};
  std::optional<claim_outcome> outcome =
      KnownOutcome(submission, claim.key, wall);
  const claim_view view = table_.Find(claim.key.id);
  if (!outcome && claim.is_lost) {
    outcome = {submission, false, reason::kKeyRunning, 0};
  }
  if (!outcome && claim.deadline <= now) {
    outcome = {submission, false, reason::kLogAway, 0};
  }
  if (!outcome && view.state == claim_view::claim_state::kClaimed) {
    Check(view.holder == own, invariant::kAtMostOnce);
    held_keys_.emplace(submission, claim.key);
    outcomes_.push_back({submission, true, reason::kAnswered, 0});
    return true;
  }
  if (!outcome) {
    return false;
  }
  if (claim.sent_at) {
    AddPending({claim_kind::kReleased, claim.key, submission}, now);
  }
  outcomes_.push_back(*outcome);
  return true;
}

bool claimer::IsWritten(const claim_entry& entry) const {
  if (table_.IsForgotten(entry.key)) {
    return true;
  }
  const claim_id own{writer_, entry.sequence};
  const claim_view view = table_.Find(entry.key.id);
  if (entry.kind == claim_kind::kReleased) {
    return table_.IsReleased(entry.key.id, own);
  }
  return view.state == claim_view::claim_state::kCompleted ||
         view.state == claim_view::claim_state::kUnknown;
}

void claimer::RemoveWritten() {
  std::erase_if(pending_,
                [&](const auto& item) { return IsWritten(item.second.entry); });
}

bool claimer::IsDue(const std::optional<millis>& sent_at, millis now) const {
  return !sent_at || now - *sent_at >= timeout_;
}

// The timeout doubles so that a slow or unreachable log gets fewer appends, not
// more.
std::optional<std::string> claimer::NextAppend(millis now) {
  if (in_flight_ && now - *last_append_at_ >= timeout_) {
    in_flight_ = false;
    timeout_ = std::min(timeout_ * 2, limits_.append_timeout_max);
  }
  const bool is_too_early =
      last_append_at_ && now - *last_append_at_ < limits_.append_interval;
  if (in_flight_ || is_too_early || !table_.ready()) {
    return std::nullopt;
  }
  claim_batch batch{writer_, appends_ + 1, {}};
  for (auto& [submission, unwritten] : pending_) {
    if (batch.entries.size() < limits_.max_entries &&
        now >= unwritten.not_before && IsDue(unwritten.sent_at, now)) {
      batch.entries.push_back(unwritten.entry);
      unwritten.sent_at = now;
    }
  }
  for (auto& [submission, claim] : waiting_) {
    if (batch.entries.size() < limits_.max_entries &&
        IsDue(claim.sent_at, now)) {
      batch.entries.push_back(
          {claim_kind::kClaim, claim.key, submission, 0, claim.read_position});
      claim.sent_at = now;
    }
  }
  if (batch.entries.empty()) {
    return std::nullopt;
  }
  ++appends_;
  in_flight_ = true;
  last_append_at_ = now;
  return EncodeClaims(batch);
}

}  // namespace peridotarch
