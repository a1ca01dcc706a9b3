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
  AtNode(att->node, now_ + millis(1), [this, att] {
    AtStep(att->sub, att->node, path_step::kWrite, [this, att] { Write(att); });
  });
  AtNode(att->node, att->deadline, [this, att] { Timeout(att); });
}

void world::Write(const attempt_ptr& att) {
  if (att->over) {
    return;
  }
  if (now_ >= att->deadline) {
    EndAttempt(att, attempt_end_cause::kTimeout);
    return;
  }
  auto& trouble = att->sub->upstream_fault;
  if (trouble == fault::kResetBeforeWrite) {
    trouble.reset();
    EndAttempt(att, attempt_end_cause::kReset);
    return;
  }
  att->end.written = write_progress::kAll;
  if (!Lost(att->node, true)) {
    At(now_ + Soon(1, random_.Below(20) == 0 ? 900 : 3),
       [this, att] { Arrive(att); });
  }
  AtStep(att->sub, att->node, path_step::kWait, [this, att] {
    if (att->sub->upstream_fault == fault::kResetAfterWrite && !att->over) {
      att->sub->upstream_fault.reset();
      EndAttempt(att, attempt_end_cause::kReset);
    }
  });
}

// The instance's side: it keeps its own record of runs.
void world::Arrive(const attempt_ptr& att) {
  instance& at = *instances_[att->instance];
  auto& trouble = att->sub->upstream_fault;
  const bool shed = trouble == fault::kShed;
  if (shed) {
    trouble.reset();
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
  auto& trouble = att->sub->upstream_fault;
  const bool slow = trouble == fault::kSlow;
  if (slow) {
    trouble.reset();
  }
  At(now_ + (slow ? Soon(300, 2'500) : Soon(2, 60)), [this, att, &at] {
    --at.busy;
    att->finished = true;
    Answer(att, false);
  });
}

void world::Answer(const attempt_ptr& att, bool shed) {
  auto& trouble = att->sub->upstream_fault;
  const bool late = !shed && trouble == fault::kLateAnswer;
  if (late) {
    trouble.reset();
  }
  if (Lost(att->node, false)) {
    return;
  }
  const auto arrive = [this, att, shed] {
    AtStep(att->sub, att->node, path_step::kRead, [this, att, shed] {
      auto& cut = att->sub->upstream_fault;
      const bool truncated = cut == fault::kTruncated && !shed;
      const bool reset = cut == fault::kResetAfterWrite;
      if (truncated || reset) {
        cut.reset();
      }
      if (att->over) {
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
    AtNode(att->node, now_ + (late ? Soon(500, 2'000) : Soon(1, 3)), arrive);
  }
}

void world::Timeout(const attempt_ptr& att) {
  if (att->over) {
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
  att->over = true;
  const auto end = [this, att](cancel_answer answer) {
    if (att->end.cancel == cancel_answer::kNone) {
      att->end.cancel = answer;
      att->over = false;
      EndAttempt(att, attempt_end_cause::kTimeout);
    }
  };
  AtNode(att->node, now_ + kCancelWait,
         [end] { end(cancel_answer::kUnknown); });
  if (Lost(att->node, true)) {
    return;
  }
  At(now_ + Soon(1, 3), [this, att, end] {
    att->cancelled = att->cancelled || !att->started;
    const cancel_answer answer = !att->started   ? cancel_answer::kNotStarted
                                 : att->finished ? cancel_answer::kFinished
                                                 : cancel_answer::kRunning;
    if (!Lost(att->node, false) &&
        nodes_[att->node]->incarnation == att->incarnation) {
      AtNode(att->node, now_ + Soon(1, 3), [end, answer] { end(answer); });
    }
  });
}

void world::EndAttempt(const attempt_ptr& att, attempt_end_cause ended) {
  constexpr int kCreated = 201;
  if (att->over) {
    return;
  }
  att->over = true;
  att->end.ended = ended;
  node& there = *nodes_[att->node];
  if (att->end.shed) {
    there.slots->NoteShed(std::to_string(att->instance), now_);
  }
  Do(att->sub,
     att->sub->call->OnAttemptEnded(att->end, kCreated, now_, there.budget));
  AtNode(att->node, now_, [this, at = att->node] { Pump(at); });
}

}  // namespace peridotarch
