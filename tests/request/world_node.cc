#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tests/request/world_run.h"

namespace peridotarch {

void world::Send(size_t request, size_t entry, bool is_repeat) {
  auto sub = std::make_shared<submission>();
  sub->id = submissions_.size();
  sub->request = request;
  sub->entry = entry;
  sub->is_repeat = is_repeat;
  submissions_.push_back(sub);
  ++requests_[request].sent_count;
  last_sent_ = now_;
  ++result_.submissions;
  Schedule(now_ + millis(1), [this, sub, entry] {
    ScheduleAtNode(entry, now_, [this, sub] { Accept(sub); });
  });
  const millis caller_timeout =
      requests_[request].timeout + RandomDelay(100, 800);
  Schedule(now_ + caller_timeout, [this, sub] {
    if (sub->caller_has_reply) {
      return;
    }
    sub->caller_left = true;
    ScheduleAtNode(sub->owner, now_ + millis(1), [this, sub] {
      const uint64_t incarnation = nodes_[sub->owner]->incarnation;
      if (sub->call && sub->owner_incarnation == incarnation) {
        Perform(sub, sub->call->OnCallerLeft());
      }
    });
    RetryLater(sub->request);
  });
}

void world::Accept(const sub_ptr& sub) {
  RunStep(sub, sub->entry, path_step::kAccept, [this, sub] {
    RunStep(sub, sub->entry, path_step::kParse, [this, sub] {
      RunStep(sub, sub->entry, path_step::kChoose,
              [this, sub] { Forward(sub); });
    });
  });
}

// Sends the submission from its entry node to the owner. For the entry node
// this is an attempt whose answer is the owner's reply.
void world::Forward(const sub_ptr& sub) {
  sub->owner = nodes_[sub->entry]->owner_view;
  const request& asked = requests_[sub->request];
  const bool claims = asked.keyed && !asked.idempotent;
  const auto ownership =
      claims ? key_ownership::kUnknown : key_ownership::kNoKey;
  if (!nodes_[sub->owner]->up) {
    AnswerCaller(sub, reason::kOwnerUnreachable,
                 RequestVerdict(verdict::kNotRun, ownership));
    return;
  }
  if (sub->owner == sub->entry) {
    Receive(sub);
    return;
  }
  if (!IsCut(sub->entry, true) && !IsCut(sub->owner, false)) {
    ScheduleAtNode(sub->owner, now_ + RandomDelay(1, 3),
                   [this, sub] { Receive(sub); });
  }
  ScheduleAtNode(sub->entry, now_ + asked.timeout + millis(50), [this, sub] {
    AnswerCaller(sub, reason::kOwnerLost, verdict::kMayHaveRun);
  });
}

void world::Receive(const sub_ptr& sub) {
  const request& asked = requests_[sub->request];
  call_params plan;
  plan.idempotent = asked.idempotent;
  plan.keyed = asked.keyed;
  plan.retries = 2;
  plan.deadline = now_ + asked.timeout;
  sub->owner_at = now_;
  sub->owner_incarnation = nodes_[sub->owner]->incarnation;
  sub->call.emplace(plan);
  Perform(sub, sub->call->Start());
}

// A crash during an action drops the actions after it.
void world::Perform(const sub_ptr& sub,
                    const std::vector<call_action>& actions) {
  const uint64_t incarnation = nodes_[sub->owner]->incarnation;
  for (const call_action& action : actions) {
    if (nodes_[sub->owner]->incarnation == incarnation) {
      PerformOne(sub, action);
    }
  }
}

void world::PerformOne(const sub_ptr& sub, const call_action& next) {
  using action = call_action::action;
  const size_t at = sub->owner;
  node& target = *nodes_[at];
  const request& asked = requests_[sub->request];
  switch (next.kind) {
    case action::kClaim:
      RunStep(sub, at, path_step::kClaim, [this, sub, at, &asked] {
        node& current_node = *nodes_[at];
        const millis wall = now_ + millis(kEpoch) + current_node.clock_skew;
        sub->claim = current_node.claims->Submit(
            asked.key, now_ + asked.timeout, now_, wall);
        current_node.by_claim[sub->claim] = sub;
        Pump(at);
      });
      return;
    case action::kAdmit:
      sub->slot = ++target.next_ticket;
      target.by_slot[sub->slot] = sub;
      target.slots->Admit(
          sub->slot,
          {now_ + asked.timeout, "z", asked.idempotent, next.instance}, now_);
      ScheduleAtNode(at, now_, [this, at] { Pump(at); });
      return;
    case action::kAttempt:
      RunStep(sub, at, path_step::kConnect,
              [this, sub, next] { Connect(sub, next.instance); });
      return;
    case action::kFreeSlot:
      target.slots->Release(sub->slot, now_);
      return;
    case action::kFreeSlotLater:
      target.slots->ReleaseAt(sub->slot, next.at);
      return;
    case action::kLeaveQueue:
      target.slots->Dequeue(sub->slot, now_);
      return;
    case action::kReply:
      RunStep(sub, at, path_step::kReply,
              [this, sub, next] { Reply(sub, next.why, next.run_verdict); });
      return;
    case action::kComplete:
      RunStep(sub, at, path_step::kRelease, [this, sub, at, next] {
        nodes_[at]->claims->Complete(sub->claim, next.status);
      });
      return;
    case action::kReleaseClaim:
      RunStep(sub, at, path_step::kRelease, [this, sub, at] {
        nodes_[at]->claims->Release(sub->claim, now_);
      });
      return;
    case action::kMarkClaimUnknown:
      target.claims->MarkUnknown(sub->claim);
      return;
  }
}

void world::Pump(size_t at) {
  node& target = *nodes_[at];
  const millis wall = now_ + millis(kEpoch) + target.clock_skew;
  const claimer_actions step = target.claims->Tick(now_, wall);
  if (step.append) {
    Append(at, *step.append);
  }
  const uint64_t incarnation = target.incarnation;
  for (const claim_outcome& outcome : step.outcomes) {
    if (target.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = target.by_claim[outcome.submission];
    Perform(sub, sub->call->OnClaimAnswered(outcome));
  }
  for (const shard_action& done : target.slots->Tick(now_)) {
    if (target.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = target.by_slot[done.id];
    if (done.kind == shard_action::action::kGrant) {
      Perform(sub, sub->call->OnGranted(done.instance, now_));
    } else {
      Perform(sub, sub->call->OnRefused(done.why, done.retry_after));
    }
  }
  if (!target.reading && now_ >= target.next_read) {
    ReadLog(at);
  }
}

// An append may be lost, land late, land twice, or have its answer lost.
void world::Append(size_t at, const std::string& record) {
  const bool is_lost = IsCut(at, true) || now_ < log_away_until_;
  const uint64_t chance = random_.Below(100);
  const bool late = chance < 5;
  const bool twice = chance >= 95;
  const millis lands_at =
      now_ + (late ? RandomDelay(50, 2'500) : RandomDelay(1, 4));
  const auto land = [this, record] {
    log_.Append(record, now_ + millis(kEpoch));
  };
  if (!is_lost && chance != 50) {
    Schedule(lands_at, land);
    if (twice) {
      Schedule(lands_at + RandomDelay(1, 1'500), land);
    }
  }
  const bool answered = !is_lost && !late && random_.Below(10) > 0;
  ScheduleAtNode(at, now_ + RandomDelay(2, 8), [this, at, answered] {
    if (answered && !IsCut(at, false)) {
      nodes_[at]->claims->OnAppendEnded();
    }
  });
}

void world::ReadLog(size_t at) {
  node& target = *nodes_[at];
  target.reading = true;
  target.next_read =
      now_ + (target.claims->idle() ? kIdleReadInterval : kReadInterval);
  const uint64_t from = target.claims->position();
  const bool is_lost = IsCut(at, true) || now_ < log_away_until_;
  Schedule(now_ + millis(1),
           [this, at, from, is_lost, incarnation = target.incarnation] {
             const uint64_t lag = random_.Below(10) == 0 ? random_.Below(4) : 0;
             const log_page page = log_.Read(from, lag);
             if (nodes_[at]->incarnation != incarnation) {
               return;
             }
             ScheduleAtNode(at, now_ + millis(1), [this, at, page, is_lost] {
               node& current_node = *nodes_[at];
               current_node.reading = false;
               if (is_lost || IsCut(at, false)) {
                 return;
               }
               current_node.claims->Read(
                   page, now_, now_ + millis(kEpoch) + current_node.clock_skew);
               Pump(at);
             });
           });
}

void world::Reply(const sub_ptr& sub, reason why, verdict run_verdict) {
  sub->reply_at_owner = submission::reply_record{now_, run_verdict, why};
  if (why == reason::kAnswered &&
      !(sub->current && sub->current->finished &&
        sub->current->end.read == read_progress::kWhole)) {
    ++result_.foreign;
  }
  if (sub->owner == sub->entry) {
    AnswerCaller(sub, why, run_verdict);
    return;
  }
  if (!IsCut(sub->owner, true) && !IsCut(sub->entry, false)) {
    ScheduleAtNode(
        sub->entry, now_ + RandomDelay(1, 3),
        [this, sub, why, run_verdict] { AnswerCaller(sub, why, run_verdict); });
  }
}

// The entry node answers its caller exactly once.
void world::AnswerCaller(const sub_ptr& sub, reason why, verdict run_verdict) {
  if (sub->has_replied) {
    return;
  }
  sub->has_replied = true;
  if (sub->caller_left) {
    return;
  }
  Schedule(now_ + millis(1), [this, sub, why, run_verdict] {
    if (sub->caller_left) {
      return;
    }
    sub->caller_has_reply = true;
    sub->reply_heard = submission::reply_record{now_, run_verdict, why};
    ++result_.replies;
    ++result_.reasons[static_cast<size_t>(why)];
    result_.answered += why == reason::kAnswered ? 1 : 0;
    result_.told_not_run += run_verdict == verdict::kNotRun ? 1 : 0;
    result_.told_may_have_run += run_verdict == verdict::kMayHaveRun ? 1 : 0;
    if (run_verdict == verdict::kRan) {
      requests_[sub->request].is_settled = true;
      return;
    }
    RetryLater(sub->request);
  });
}

// A caller with a key retries through any node; without a key it gives up.
void world::RetryLater(size_t request) {
  auto& asked = requests_[request];
  if (!asked.keyed || asked.is_settled || asked.sent_count >= kMaxSubmissions) {
    return;
  }
  Schedule(now_ + RandomDelay(0, 1'200), [this, request] {
    if (!requests_[request].is_settled) {
      Send(request, random_.Below(kNodes), true);
    }
  });
}

}  // namespace peridotarch
