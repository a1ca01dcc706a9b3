#include "request/owner_call.h"

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "request/retry_budget.h"

namespace peridotarch {

std::vector<call_action> owner_call::Start() {
  step_ = NeedsClaim() ? call_state::kClaiming : call_state::kQueued;
  Add(NeedsClaim() ? action::kClaim : action::kAdmit);
  return Take();
}

// A claim comes before the slot: it costs no capacity while it waits, and once
// it is held every refusal that follows is truly not_run.
std::vector<call_action> owner_call::OnClaimAnswered(
    const claim_outcome& outcome) {
  if (step_ != call_state::kClaiming) {
    return Take();
  }
  if (!outcome.won) {
    const reply_rule rule = ReplyFor(outcome.why);
    Reply(outcome.why, RequestVerdict(rule.run_verdict, Knowledge()),
          outcome.status, millis());
    step_ = call_state::kDone;
    return Take();
  }
  claimed_ = true;
  if (caller_left_) {
    Finish(reason::kDeadlineExpired, 0, millis());
    return Take();
  }
  step_ = call_state::kQueued;
  Add(action::kAdmit);
  return Take();
}

// A second attempt of non-idempotent work needs the proof that no earlier one
// ran.
bool owner_call::MayAttempt() const {
  const bool proven = plan_.idempotent || attempts_ == verdict::kNotRun;
  return proven && (!NeedsClaim() || claimed_);
}

std::vector<call_action> owner_call::OnGranted(const std::string& instance,
                                               millis now) {
  const bool may = MayAttempt();
  Check(may, invariant::kAtMostOnce);
  if (step_ != call_state::kQueued || !may) {
    Add(action::kFreeSlot);
    return Take();
  }
  if (now >= plan_.deadline) {
    Add(action::kFreeSlot);
    Finish(reason::kDeadlineExpired, 0, millis());
    return Take();
  }
  step_ = call_state::kAttempting;
  instance_ = instance;
  started_ = now;
  Add(action::kAttempt);
  return Take();
}

std::vector<call_action> owner_call::OnRefused(reason why, millis retry_after) {
  if (step_ == call_state::kQueued) {
    Finish(why, 0, retry_after);
  }
  return Take();
}

std::vector<call_action> owner_call::OnAttemptEnded(const attempt_summary& end,
                                                    int status, millis now,
                                                    retry_budget& budget) {
  if (step_ != call_state::kAttempting) {
    return Take();
  }
  attempts_ = CombineVerdicts(attempts_, JudgeAttempt(end));
  any_not_shed_ = any_not_shed_ || !end.shed;
  FreeSlot(end);
  const reason why = ReasonOf(end);
  if (why == reason::kAnswered) {
    Finish(why, status, millis());
    return Take();
  }
  if (!caller_left_ &&
      DecideRetry(Case(now), budget) == retry_decision::kRetry) {
    ++retries_made_;
    step_ = call_state::kQueued;
    Add(action::kAdmit);
    return Take();
  }
  Finish(why, 0, millis());
  return Take();
}

std::vector<call_action> owner_call::OnCallerLeft() {
  caller_left_ = true;
  if (step_ == call_state::kQueued) {
    Add(action::kLeaveQueue);
    Finish(reason::kDeadlineExpired, 0, millis());
  }
  return Take();
}

// Two sheds in a row by different instances of a shard mean that the service
// is full, not that one instance is.
retry_context owner_call::Case(millis now) const {
  retry_context known;
  known.attempts = attempts_;
  known.idempotent = plan_.idempotent;
  known.retries_made = retries_made_;
  known.retries_allowed = plan_.retries;
  known.time_left = plan_.deadline - now;
  known.attempt_time = now - started_;
  known.shed_everywhere = retries_made_ > 0 && !any_not_shed_;
  return known;
}

key_ownership owner_call::Knowledge() const {
  if (!NeedsClaim()) {
    return key_ownership::kNoKey;
  }
  return claimed_ ? key_ownership::kHeld : key_ownership::kUnknown;
}

// The instance may go on running what it has begun; it stops at the deadline
// that it was given.
void owner_call::FreeSlot(const attempt_summary& end) {
  const bool over = JudgeAttempt(end) != verdict::kMayHaveRun ||
                    end.cancel == cancel_answer::kFinished;
  Add(over ? action::kFreeSlot : action::kFreeSlotLater);
}

void owner_call::Add(action kind) {
  call_action added;
  added.kind = kind;
  added.instance = instance_;
  added.at = plan_.deadline;
  actions_.push_back(std::move(added));
}

void owner_call::Reply(reason why, verdict run_verdict, int status,
                       millis retry_after) {
  Check(run_verdict != verdict::kNotRun || attempts_ == verdict::kNotRun,
        invariant::kNotRun);
  call_action reply;
  reply.kind = action::kReply;
  reply.why = why;
  reply.run_verdict = run_verdict;
  reply.status = status;
  reply.retry_after = retry_after;
  actions_.push_back(reply);
}

// The attempts decide the verdict, not the reason: a retry that is refused for
// lack of a slot says nothing about the attempt before it.
void owner_call::Finish(reason why, int status, millis retry_after) {
  if (!caller_left_) {
    Reply(why, RequestVerdict(attempts_, Knowledge()), status, retry_after);
  }
  if (claimed_) {
    EndClaim(status);
  }
  step_ = call_state::kDone;
}

// The release follows the reply: a submission that comes after it may run the
// key, and none that was pending before.
void owner_call::EndClaim(int status) {
  switch (attempts_) {
    case verdict::kRan:
      Add(action::kComplete);
      actions_.back().status = status;
      return;
    case verdict::kNotRun:
      Add(action::kReleaseClaim);
      return;
    case verdict::kMayHaveRun:
      Add(action::kMarkClaimUnknown);
      return;
  }
}

std::vector<call_action> owner_call::Take() {
  return std::exchange(actions_, {});
}

}  // namespace peridotarch
