#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tests/request/world_run.h"

namespace peridotarch {

void world::Send(size_t request, size_t entry, bool repeats) {
  auto sub = std::make_shared<submission>();
  sub->id = submissions_.size();
  sub->request = request;
  sub->entry = entry;
  sub->repeats = repeats;
  submissions_.push_back(sub);
  ++requests_[request].sent;
  last_sent_ = now_;
  ++result_.submissions;
  At(now_ + millis(1),
     [this, sub, entry] { AtNode(entry, now_, [this, sub] { Accept(sub); }); });
  const millis patience = requests_[request].timeout + Soon(100, 800);
  At(now_ + patience, [this, sub] {
    if (sub->heard) {
      return;
    }
    sub->caller_gone = true;
    AtNode(sub->owner, now_ + millis(1), [this, sub] {
      const uint64_t serving = nodes_[sub->owner]->incarnation;
      if (sub->call && sub->owner_incarnation == serving) {
        Do(sub, sub->call->OnCallerLeft());
      }
    });
    Repeat(sub->request);
  });
}

void world::Accept(const sub_ptr& sub) {
  AtStep(sub, sub->entry, path_step::kAccept, [this, sub] {
    AtStep(sub, sub->entry, path_step::kParse, [this, sub] {
      AtStep(sub, sub->entry, path_step::kChoose,
             [this, sub] { Forward(sub); });
    });
  });
}

// The entry node's side of the inner hop: an attempt whose answer is the
// owner's reply.
void world::Forward(const sub_ptr& sub) {
  sub->owner = nodes_[sub->entry]->owner_view;
  const request& asked = requests_[sub->request];
  const bool claims = asked.keyed && !asked.idempotent;
  const auto knows = claims ? key_ownership::kUnknown : key_ownership::kNoKey;
  if (!nodes_[sub->owner]->up) {
    Hear(sub, reason::kOwnerUnreachable,
         RequestVerdict(verdict::kNotRun, knows));
    return;
  }
  if (sub->owner == sub->entry) {
    Receive(sub);
    return;
  }
  if (!Lost(sub->entry, true) && !Lost(sub->owner, false)) {
    AtNode(sub->owner, now_ + Soon(1, 3), [this, sub] { Receive(sub); });
  }
  AtNode(sub->entry, now_ + asked.timeout + millis(50),
         [this, sub] { Hear(sub, reason::kOwnerLost, verdict::kMayHaveRun); });
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
  Do(sub, sub->call->Start());
}

// A crash in the midst ends what the process was doing.
void world::Do(const sub_ptr& sub, const std::vector<call_action>& actions) {
  const uint64_t incarnation = nodes_[sub->owner]->incarnation;
  for (const call_action& action : actions) {
    if (nodes_[sub->owner]->incarnation == incarnation) {
      DoOne(sub, action);
    }
  }
}

void world::DoOne(const sub_ptr& sub, const call_action& kind) {
  using action = call_action::action;
  const size_t at = sub->owner;
  node& there = *nodes_[at];
  const request& asked = requests_[sub->request];
  switch (kind.kind) {
    case action::kClaim:
      AtStep(sub, at, path_step::kClaim, [this, sub, at, &asked] {
        node& here = *nodes_[at];
        const millis wall = now_ + millis(kEpoch) + here.skew;
        sub->claim =
            here.claims->Submit(asked.key, now_ + asked.timeout, now_, wall);
        here.by_claim[sub->claim] = sub;
        Pump(at);
      });
      return;
    case action::kAdmit:
      sub->slot = ++there.next_ticket;
      there.by_slot[sub->slot] = sub;
      there.slots->Admit(
          sub->slot,
          {now_ + asked.timeout, "z", asked.idempotent, kind.instance}, now_);
      AtNode(at, now_, [this, at] { Pump(at); });
      return;
    case action::kAttempt:
      AtStep(sub, at, path_step::kConnect,
             [this, sub, kind] { Connect(sub, kind.instance); });
      return;
    case action::kFreeSlot:
      there.slots->Release(sub->slot, now_);
      return;
    case action::kFreeSlotLater:
      there.slots->ReleaseAt(sub->slot, kind.at);
      return;
    case action::kLeaveQueue:
      there.slots->Dequeue(sub->slot, now_);
      return;
    case action::kReply:
      AtStep(sub, at, path_step::kReply,
             [this, sub, kind] { Reply(sub, kind.why, kind.run_verdict); });
      return;
    case action::kComplete:
      AtStep(sub, at, path_step::kRelease, [this, sub, at, kind] {
        nodes_[at]->claims->Complete(sub->claim, kind.status);
      });
      return;
    case action::kReleaseClaim:
      AtStep(sub, at, path_step::kRelease, [this, sub, at] {
        nodes_[at]->claims->Release(sub->claim, now_);
      });
      return;
    case action::kMarkClaimUnknown:
      there.claims->MarkUnknown(sub->claim);
      return;
  }
}

void world::Pump(size_t at) {
  node& there = *nodes_[at];
  const millis wall = now_ + millis(kEpoch) + there.skew;
  const claimer_actions step = there.claims->Tick(now_, wall);
  if (step.append) {
    Append(at, *step.append);
  }
  const uint64_t incarnation = there.incarnation;
  for (const claim_outcome& outcome : step.outcomes) {
    if (there.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = there.by_claim[outcome.submission];
    Do(sub, sub->call->OnClaimAnswered(outcome));
  }
  for (const shard_action& done : there.slots->Tick(now_)) {
    if (there.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = there.by_slot[done.id];
    if (done.kind == shard_action::action::kGrant) {
      Do(sub, sub->call->OnGranted(done.instance, now_));
    } else {
      Do(sub, sub->call->OnRefused(done.why, done.retry_after));
    }
  }
  if (!there.reading && now_ >= there.next_read) {
    ReadLog(at);
  }
}

// An append may be lost, land late, land twice, or have its answer lost.
void world::Append(size_t at, const std::string& record) {
  const bool lost = Lost(at, true) || now_ < log_away_until_;
  const uint64_t luck = random_.Below(100);
  const bool late = luck < 5;
  const bool twice = luck >= 95;
  const millis lands = now_ + (late ? Soon(50, 2'500) : Soon(1, 4));
  const auto land = [this, record] {
    log_.Append(record, now_ + millis(kEpoch));
  };
  if (!lost && luck != 50) {
    At(lands, land);
    if (twice) {
      At(lands + Soon(1, 1'500), land);
    }
  }
  const bool answered = !lost && !late && random_.Below(10) > 0;
  AtNode(at, now_ + Soon(2, 8), [this, at, answered] {
    if (answered && !Lost(at, false)) {
      nodes_[at]->claims->OnAppendEnded();
    }
  });
}

void world::ReadLog(size_t at) {
  node& there = *nodes_[at];
  there.reading = true;
  there.next_read = now_ + (there.claims->idle() ? kIdleRead : kRead);
  const uint64_t from = there.claims->position();
  const bool lost = Lost(at, true) || now_ < log_away_until_;
  At(now_ + millis(1), [this, at, from, lost, incarnation = there.incarnation] {
    const uint64_t lag = random_.Below(10) == 0 ? random_.Below(4) : 0;
    const log_page page = log_.Read(from, lag);
    if (nodes_[at]->incarnation != incarnation) {
      return;
    }
    AtNode(at, now_ + millis(1), [this, at, page, lost] {
      node& here = *nodes_[at];
      here.reading = false;
      if (lost || Lost(at, false)) {
        return;
      }
      here.claims->Read(page, now_, now_ + millis(kEpoch) + here.skew);
      Pump(at);
    });
  });
}

void world::Reply(const sub_ptr& sub, reason why, verdict run_verdict) {
  sub->saying_at_owner = submission::saying{now_, run_verdict, why};
  if (why == reason::kAnswered &&
      !(sub->current && sub->current->finished &&
        sub->current->end.read == read_progress::kWhole)) {
    ++result_.foreign;
  }
  if (sub->owner == sub->entry) {
    Hear(sub, why, run_verdict);
    return;
  }
  if (!Lost(sub->owner, true) && !Lost(sub->entry, false)) {
    AtNode(sub->entry, now_ + Soon(1, 3),
           [this, sub, why, run_verdict] { Hear(sub, why, run_verdict); });
  }
}

// The entry node answers its caller, once.
void world::Hear(const sub_ptr& sub, reason why, verdict run_verdict) {
  if (sub->told) {
    return;
  }
  sub->told = true;
  if (sub->caller_gone) {
    return;
  }
  At(now_ + millis(1), [this, sub, why, run_verdict] {
    if (sub->caller_gone) {
      return;
    }
    sub->heard = true;
    sub->saying_heard = submission::saying{now_, run_verdict, why};
    ++result_.replies;
    ++result_.reasons[static_cast<size_t>(why)];
    result_.answered += why == reason::kAnswered ? 1 : 0;
    result_.told_not_run += run_verdict == verdict::kNotRun ? 1 : 0;
    result_.told_may_have_run += run_verdict == verdict::kMayHaveRun ? 1 : 0;
    if (run_verdict == verdict::kRan) {
      requests_[sub->request].settled = true;
      return;
    }
    Repeat(sub->request);
  });
}

// A caller repeats a key through any node; without a key it gives up.
void world::Repeat(size_t request) {
  auto& asked = requests_[request];
  if (!asked.keyed || asked.settled || asked.sent >= kMaxSubmissions) {
    return;
  }
  At(now_ + Soon(0, 1'200), [this, request] {
    if (!requests_[request].settled) {
      Send(request, random_.Below(kNodes), true);
    }
  });
}

}  // namespace peridotarch
