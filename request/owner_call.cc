#include "request/owner_call.h"

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "request/retry_budget.h"

namespace peridotarch {

std::vector<call_action> owner_call::Start() {
  state_ = NeedsClaim() ? call_state::kClaiming : call_state::kQueued;
  AddAction(NeedsClaim() ? action::kClaim : action::kAdmit);
  return TakeActions();
}

// The claim comes before the slot: it uses no capacity while it waits, and once
// it is held, every later refusal can truthfully say not_run.
std::vector<call_action> owner_call::OnClaimAnswered(
    const claim_outcome& outcome) {
  if (state_ != call_state::kClaiming) {
    return TakeActions();
  }
  if (!outcome.won) {
    const reply_rule reply = ReplyFor(outcome.why);
    Reply(outcome.why, RequestVerdict(reply.run_verdict, KeyOwnership()),
          outcome.status, millis());
    state_ = call_state::kDone;
    return TakeActions();
  }
  holds_claim_ = true;
  if (caller_left_) {
    Finish(reason::kDeadlineExpired, 0, millis());
    return TakeActions();
  }
  state_ = call_state::kQueued;
  AddAction(action::kAdmit);
  return TakeActions();
}

// A second attempt at a non-idempotent request requires proof that no earlier
// attempt ran.
bool owner_call::MayAttempt() const {
  const bool is_safe =
      params_.idempotent || attempts_verdict_ == verdict::kNotRun;
  return is_safe && (!NeedsClaim() || holds_claim_);
}

std::vector<call_action> owner_call::OnGranted(const std::string& instance,
                                               millis now) {
  const bool may_attempt = MayAttempt();
  Check(may_attempt, invariant::kAtMostOnce);
  if (state_ != call_state::kQueued || !may_attempt) {
    AddAction(action::kFreeSlot);
    return TakeActions();
  }
  if (now >= params_.deadline) {
    AddAction(action::kFreeSlot);
    Finish(reason::kDeadlineExpired, 0, millis());
    return TakeActions();
  }
  state_ = call_state::kAttempting;
  latest_instance_ = instance;
  slot_granted_at_ = now;
  AddAction(action::kAttempt);
  return TakeActions();
}

std::vector<call_action> owner_call::OnRefused(reason why, millis retry_after) {
  if (state_ == call_state::kQueued) {
    Finish(why, 0, retry_after);
  }
  return TakeActions();
}

std::vector<call_action> owner_call::OnAttemptEnded(
    const attempt_summary& attempt, int status, millis now,
    retry_budget& budget) {
  if (state_ != call_state::kAttempting) {
    return TakeActions();
  }
  attempts_verdict_ = CombineVerdicts(attempts_verdict_, JudgeAttempt(attempt));
  has_unshed_attempt_ = has_unshed_attempt_ || !attempt.shed;
  FreeSlot(attempt);
  const reason why = ReasonOf(attempt);
  if (why == reason::kAnswered) {
    Finish(why, status, millis());
    return TakeActions();
  }
  if (!caller_left_ &&
      DecideRetry(RetryContext(now), budget) == retry_decision::kRetry) {
    ++retries_made_;
    state_ = call_state::kQueued;
    AddAction(action::kAdmit);
    return TakeActions();
  }
  Finish(why, 0, millis());
  return TakeActions();
}

std::vector<call_action> owner_call::OnCallerLeft() {
  caller_left_ = true;
  if (state_ == call_state::kQueued) {
    AddAction(action::kLeaveQueue);
    Finish(reason::kDeadlineExpired, 0, millis());
  }
  return TakeActions();
}

// If two different instances of a shard shed the request in a row, the service
// is full, not just one instance.
retry_context owner_call::RetryContext(millis now) const {
  retry_context context;
  context.attempts = attempts_verdict_;
  context.idempotent = params_.idempotent;
  context.retries_made = retries_made_;
  context.retries_allowed = params_.retries;
  context.time_left = params_.deadline - now;
  context.attempt_time = now - slot_granted_at_;
  context.shed_everywhere = retries_made_ > 0 && !has_unshed_attempt_;
  return context;
}

key_ownership owner_call::KeyOwnership() const {
  if (!NeedsClaim()) {
    return key_ownership::kNoKey;
  }
  return holds_claim_ ? key_ownership::kHeld : key_ownership::kUnknown;
}

// If the attempt may still run at the instance, its slot is freed at the
// deadline that the instance was given, since it stops then.
void owner_call::FreeSlot(const attempt_summary& attempt) {
  const bool has_ended = JudgeAttempt(attempt) != verdict::kMayHaveRun ||
                         attempt.cancel == cancel_answer::kFinished;
  AddAction(has_ended ? action::kFreeSlot : action::kFreeSlotLater);
}

void owner_call::AddAction(action kind) {
  call_action added;
  added.kind = kind;
  added.instance = latest_instance_;
  added.at = params_.deadline;
  actions_.push_back(std::move(added));
}

void owner_call::Reply(reason why, verdict run_verdict, int status,
                       millis retry_after) {
  Check(
      run_verdict != verdict::kNotRun || attempts_verdict_ == verdict::kNotRun,
      invariant::kNotRun);
  call_action reply;
  reply.kind = action::kReply;
  reply.why = why;
  reply.run_verdict = run_verdict;
  reply.status = status;
  reply.retry_after = retry_after;
  actions_.push_back(reply);
}

// The verdict follows from the attempts, not from the reason: a retry that is
// refused for lack of a slot says nothing about the attempt before it.
void owner_call::Finish(reason why, int status, millis retry_after) {
  if (!caller_left_) {
    Reply(why, RequestVerdict(attempts_verdict_, KeyOwnership()), status,
          retry_after);
  }
  if (holds_claim_) {
    EndClaim(status);
  }
  state_ = call_state::kDone;
}

// The release follows the reply: a submission that comes after the release may
// run the request, but none that was pending before it.
void owner_call::EndClaim(int status) {
  switch (attempts_verdict_) {
    case verdict::kRan:
      AddAction(action::kComplete);
      actions_.back().status = status;
      return;
    case verdict::kNotRun:
      AddAction(action::kReleaseClaim);
      return;
    case verdict::kMayHaveRun:
      AddAction(action::kMarkClaimUnknown);
      return;
  }
}

std::vector<call_action> owner_call::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace peridotarch
