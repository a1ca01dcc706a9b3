#include <algorithm>
#include <string>
#include <utility>

#include "tests/request/world_run.h"

namespace peridotarch {

void world::Connect(const sub_ptr& sub, const std::string& instance) {
  auto att = std::make_shared<attempt>();
  att->sub = sub;
  att->node = sub->owner;
  att->incarnation = nodes_[sub->owner]->incarnation;
  att->instance = static_cast<size_t>(std::stoul(instance));
  att->deadline = sub->owner_at + requests_[sub->request].timeout;
  sub->current = att;
  ScheduleAtNode(att->node, now_ + millis(1), [this, att] {
    RunStep(att->sub, att->node, path_step::kWrite,
            [this, att] { Write(att); });
  });
  ScheduleAtNode(att->node, att->deadline, [this, att] { Timeout(att); });
}

void world::Write(const attempt_ptr& att) {
  if (att->is_over) {
    return;
  }
  if (now_ >= att->deadline) {
    EndAttempt(att, attempt_end_cause::kTimeout);
    return;
  }
  auto& pending_fault = att->sub->upstream_fault;
  if (pending_fault == fault::kResetBeforeWrite) {
    pending_fault.reset();
    EndAttempt(att, attempt_end_cause::kReset);
    return;
  }
  att->end.written = write_progress::kAll;
  if (!IsCut(att->node, true)) {
    Schedule(now_ + RandomDelay(1, random_.Below(20) == 0 ? 900 : 3),
             [this, att] { Arrive(att); });
  }
  RunStep(att->sub, att->node, path_step::kWait, [this, att] {
    if (att->sub->upstream_fault == fault::kResetAfterWrite && !att->is_over) {
      att->sub->upstream_fault.reset();
      EndAttempt(att, attempt_end_cause::kReset);
    }
  });
}

// Handles a request that reaches the instance, which keeps its own record of
// runs.
void world::Arrive(const attempt_ptr& att) {
  instance& at = *instances_[att->instance];
  auto& pending_fault = att->sub->upstream_fault;
  const bool shed = pending_fault == fault::kShed;
  if (shed) {
    pending_fault.reset();
  }
  if (att->cancelled || now_ >= att->deadline) {
    return;
  }
  if (shed || at.draining || at.busy >= kSlots) {
    Answer(att, true);
    return;
  }
  Start(att, at);
}

void world::Start(const attempt_ptr& att, instance& at) {
  att->started = true;
  ++at.busy;
  requests_[att->sub->request].runs.push_back({att->sub->id, now_});
  ++result_.runs;
  auto& pending_fault = att->sub->upstream_fault;
  const bool slow = pending_fault == fault::kSlow;
  if (slow) {
    pending_fault.reset();
  }
  Schedule(now_ + (slow ? RandomDelay(300, 2'500) : RandomDelay(2, 60)),
           [this, att, &at] {
             --at.busy;
             att->finished = true;
             Answer(att, false);
           });
}

void world::Answer(const attempt_ptr& att, bool shed) {
  auto& pending_fault = att->sub->upstream_fault;
  const bool late = !shed && pending_fault == fault::kLateAnswer;
  if (late) {
    pending_fault.reset();
  }
  if (IsCut(att->node, false)) {
    return;
  }
  const auto arrive = [this, att, shed] {
    RunStep(att->sub, att->node, path_step::kRead, [this, att, shed] {
      auto& read_fault = att->sub->upstream_fault;
      const bool truncated = read_fault == fault::kTruncated && !shed;
      const bool reset = read_fault == fault::kResetAfterWrite;
      if (truncated || reset) {
        read_fault.reset();
      }
      if (att->is_over) {
        return;  // The connection was dropped.
      }
      att->end.shed = shed;
      att->end.read =
          truncated || reset ? read_progress::kPart : read_progress::kWhole;
      EndAttempt(att, truncated ? attempt_end_cause::kClosed
                      : reset   ? attempt_end_cause::kReset
                                : attempt_end_cause::kAnswered);
    });
  };
  if (nodes_[att->node]->incarnation == att->incarnation) {
    ScheduleAtNode(att->node,
                   now_ + (late ? RandomDelay(500, 2'000) : RandomDelay(1, 3)),
                   arrive);
  }
}

void world::Timeout(const attempt_ptr& att) {
  if (att->is_over) {
    return;
  }
  if (att->end.written == write_progress::kNothing) {
    EndAttempt(att, attempt_end_cause::kTimeout);
    return;
  }
  Cancel(att);
}

// The cancellation travels on another connection and may overtake the request.
void world::Cancel(const attempt_ptr& att) {
  constexpr millis kCancelWait{50};
  att->is_over = true;
  const auto end = [this, att](cancel_answer answer) {
    if (att->end.cancel == cancel_answer::kNone) {
      att->end.cancel = answer;
      att->is_over = false;
      EndAttempt(att, attempt_end_cause::kTimeout);
    }
  };
  ScheduleAtNode(att->node, now_ + kCancelWait,
                 [end] { end(cancel_answer::kUnknown); });
  if (IsCut(att->node, true)) {
    return;
  }
  Schedule(now_ + RandomDelay(1, 3), [this, att, end] {
    att->cancelled = att->cancelled || !att->started;
    const cancel_answer answer = !att->started   ? cancel_answer::kNotStarted
                                 : att->finished ? cancel_answer::kFinished
                                                 : cancel_answer::kRunning;
    if (!IsCut(att->node, false) &&
        nodes_[att->node]->incarnation == att->incarnation) {
      ScheduleAtNode(att->node, now_ + RandomDelay(1, 3),
                     [end, answer] { end(answer); });
    }
  });
}

void world::EndAttempt(const attempt_ptr& att, attempt_end_cause ended) {
  constexpr int kCreated = 201;
  if (att->is_over) {
    return;
  }
  att->is_over = true;
  att->end.ended = ended;
  node& target = *nodes_[att->node];
  if (att->end.shed) {
    target.slots->NoteShed(std::to_string(att->instance), now_);
  }
  Perform(att->sub, att->sub->call->OnAttemptEnded(att->end, kCreated, now_,
                                                   target.budget));
  ScheduleAtNode(att->node, now_, [this, at = att->node] { Pump(at); });
}

}  // namespace peridotarch
