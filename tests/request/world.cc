#include "tests/request/world.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>

#include "core/millis.h"
#include "core/random.h"
#include "request/claimer.h"
#include "request/owner_call.h"
#include "request/request_verdict.h"
#include "request/retry_budget.h"
#include "request/shard.h"
#include "tests/request/fake_log.h"

namespace peridotarch {

namespace {

constexpr size_t kNodes = 3;
constexpr size_t kInstances = 3;
constexpr int kSlots = 2;
constexpr int64_t kEpoch = 1'800'000'000'000;
constexpr millis kQuiet{3'000};  // After the last submission.
constexpr millis kRead{5};
constexpr millis kIdleRead{50};
constexpr millis kPumpInterval{10};
constexpr millis kRestart{200};
constexpr int kMaxSubmissions = 4;

class world {
 public:
  world(uint64_t seed, std::vector<planned_fault> faults, caller_habits habits);

  /// Runs the schedule to its end.
  world_result Run();

 private:
  struct submission;
  struct attempt;
  using sub_ptr = std::shared_ptr<submission>;
  using attempt_ptr = std::shared_ptr<attempt>;
  using call = std::function<void()>;

  struct scheduled {
    millis at;
    uint64_t order = 0;
    call run;
    bool operator<(const scheduled& other) const {
      return at > other.at || (at == other.at && order > other.order);
    }
  };

  struct request {
    bool idempotent = false;
    bool keyed = true;
    request_key key;
    millis timeout;
    int sent = 0;
    bool settled = false;  ///< The caller has its answer or has given up.
    struct run {
      size_t submission = 0;
      millis at;
    };
    std::vector<run> runs;
  };

  struct submission {
    size_t id = 0;
    size_t request = 0;
    size_t entry = 0;
    size_t owner = 0;
    bool repeats = false;
    std::optional<owner_call> call;
    uint64_t claim = 0;
    ticket slot = 0;
    attempt_ptr current;
    uint64_t owner_incarnation = 0;
    millis owner_at;    ///< When it reached its owner.
    bool told = false;  ///< The owner or entry has replied.
    bool heard = false;
    bool caller_gone = false;
    std::optional<fault> upstream_fault;
    struct saying {
      millis at;
      verdict said = verdict::kMayHaveRun;
      reason why = reason::kAnswered;
    };
    std::optional<saying> saying_at_owner;
    std::optional<saying> saying_heard;
  };

  struct attempt {
    sub_ptr sub;
    size_t node = 0;
    uint64_t incarnation = 0;
    size_t instance = 0;
    attempt_end end;
    millis deadline;
    bool over = false;       ///< At the node.
    bool cancelled = false;  ///< At the instance, before it started.
    bool started = false;
    bool finished = false;
  };

  struct node {
    uint64_t incarnation = 0;
    bool up = true;
    millis paused_until;
    millis cut_out_until;
    millis cut_in_until;
    millis skew;
    size_t owner_view = 0;  ///< Who owns the shard in this node's view.
    std::unique_ptr<claimer> claims;
    std::unique_ptr<shard> slots;
    retry_budget budget{100, 100};
    std::map<uint64_t, sub_ptr> by_claim;
    std::map<ticket, sub_ptr> by_slot;
    ticket next_ticket = 0;
    bool reading = false;
    millis next_read;
  };

  struct instance {
    bool draining = false;
    int busy = 0;
    bool known_draining = false;
  };

  millis Soon(int64_t least, int64_t most);
  void At(millis when, call run);
  void AtNode(size_t node, millis when, call run);
  bool Lost(size_t node, bool outgoing);
  void AtStep(const sub_ptr& sub, size_t node, path_step step, call run);
  void Strike(fault what, const sub_ptr& sub, size_t node);
  void Crash(size_t node);
  void SetInstances(size_t node);

  void Send(size_t request, size_t entry, bool repeats);
  void Accept(const sub_ptr& sub);
  void Forward(const sub_ptr& sub);
  void Receive(const sub_ptr& sub);
  void Do(const sub_ptr& sub, const std::vector<call_action>& actions);
  void DoOne(const sub_ptr& sub, const call_action& action);
  void KeepPumping(size_t node);
  void Pump(size_t node);
  void Append(size_t node, const std::string& record);
  void ReadLog(size_t node);
  void Connect(const sub_ptr& sub, const std::string& instance);
  void Write(const attempt_ptr& att);
  void Arrive(const attempt_ptr& att);
  void Start(const attempt_ptr& att, instance& at);
  void Answer(const attempt_ptr& att, bool shed);
  void Timeout(const attempt_ptr& att);
  void Cancel(const attempt_ptr& att);
  void EndAttempt(const attempt_ptr& att, attempt_ending ended);
  void Reply(const sub_ptr& sub, reason why, verdict said);
  void Hear(const sub_ptr& sub, reason why, verdict said);
  void Repeat(size_t request);
  void Judge();

  random_bits random_;
  std::vector<planned_fault> faults_;
  const caller_habits habits_;
  millis now_{1'000};
  uint64_t order_ = 0;
  std::priority_queue<scheduled> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<request> requests_;
  std::vector<sub_ptr> submissions_;
  fake_log log_;
  millis log_away_until_;
  millis last_sent_;
  bool crashed_ = false;
  world_result result_;
};

world::world(uint64_t seed, std::vector<planned_fault> faults,
             caller_habits habits)
    : random_(seed), faults_(std::move(faults)), habits_(habits) {
  for (size_t i = 0; i < kInstances; ++i) {
    instances_.push_back(std::make_unique<instance>());
  }
  for (size_t i = 0; i < kNodes; ++i) {
    nodes_.push_back(std::make_unique<node>());
    nodes_[i]->skew = millis(static_cast<int64_t>(random_.Below(20'000)));
    Crash(i);
    nodes_[i]->up = true;
  }
  crashed_ = false;
  for (size_t i = 0; i < habits.requests; ++i) {
    request made;
    const uint64_t kind = random_.Below(10);
    made.idempotent = i > 0 && kind == 0;
    made.keyed = i == 0 || kind != 1;
    made.key =
        *ParseRequestKey("payout-desk", std::to_string(kEpoch) + "-token" +
                                            std::to_string(1000 + i));
    made.timeout = Soon(200, 700);
    requests_.push_back(made);
  }
}

millis world::Soon(int64_t least, int64_t most) {
  const auto span = static_cast<uint64_t>(most - least + 1);
  return millis(least + static_cast<int64_t>(random_.Below(span)));
}

void world::At(millis when, call run) {
  events_.push({std::max(when, now_), ++order_, std::move(run)});
}

// Runs on a node: dropped when it has crashed since, put off while it pauses.
void world::AtNode(size_t at, millis when, call run) {
  const uint64_t incarnation = nodes_[at]->incarnation;
  At(when, [this, at, incarnation, run = std::move(run)]() {
    node& there = *nodes_[at];
    if (!there.up || there.incarnation != incarnation) {
      return;
    }
    if (there.paused_until > now_) {
      AtNode(at, there.paused_until, run);
      return;
    }
    run();
  });
}

bool world::Lost(size_t at, bool outgoing) {
  const node& there = *nodes_[at];
  return now_ < (outgoing ? there.cut_out_until : there.cut_in_until);
}

void world::AtStep(const sub_ptr& sub, size_t at, path_step step, call run) {
  AtNode(at, now_, std::move(run));
  for (auto planned = faults_.begin(); planned != faults_.end(); ++planned) {
    if (planned->step == step && planned->request == sub->request) {
      const fault what = planned->what;
      faults_.erase(planned);
      ++result_.struck;
      Strike(what, sub, at);
      return;
    }
  }
}

void world::Strike(fault what, const sub_ptr& sub, size_t at) {
  node& there = *nodes_[at];
  switch (what) {
    case fault::kCrash:
      Crash(at);
      At(now_ + kRestart, [this, at] { nodes_[at]->up = true; });
      return;
    case fault::kPause:
      there.paused_until = now_ + Soon(300, 3'000);
      return;
    case fault::kOwnerChange:
      for (const auto& each : nodes_) {
        if (random_.Below(3) > 0) {
          each->owner_view = (at + 1) % kNodes;
        }
      }
      return;
    case fault::kLogAway:
      log_away_until_ = now_ + Soon(200, 3'000);
      return;
    case fault::kAppendAnswerLost:
      there.cut_in_until = now_ + Soon(5, 30);
      return;
    case fault::kCutOut:
      there.cut_out_until = now_ + Soon(50, 1'500);
      return;
    case fault::kCutIn:
      there.cut_in_until = now_ + Soon(50, 1'500);
      return;
    case fault::kDrain: {
      const size_t leaving = random_.Below(kInstances);
      instances_[leaving]->draining = true;
      At(now_ + Soon(5, 200), [this, leaving] {
        instances_[leaving]->known_draining = true;
        for (size_t i = 0; i < kNodes; ++i) {
          SetInstances(i);
        }
      });
      return;
    }
    case fault::kResetBeforeWrite:
    case fault::kResetAfterWrite:
    case fault::kSlow:
    case fault::kTruncated:
    case fault::kLateAnswer:
    case fault::kShed:
      sub->upstream_fault = what;
      return;
  }
}

// A process starts with nothing: a new writer, an empty table, no slots known
// to be in use.
void world::Crash(size_t at) {
  node& there = *nodes_[at];
  crashed_ = true;
  there.up = false;
  ++there.incarnation;
  there.claims = std::make_unique<claimer>(random_(), claim_window());
  there.slots = std::make_unique<shard>();
  there.by_claim.clear();
  there.by_slot.clear();
  there.reading = false;
  there.paused_until = millis();
  SetInstances(at);
}

void world::SetInstances(size_t at) {
  std::vector<instance_view> views;
  for (size_t i = 0; i < kInstances; ++i) {
    const instance_state state = instances_[i]->known_draining
                                     ? instance_state::kLeaving
                                     : instance_state::kOpen;
    views.push_back({std::to_string(i), "z", kSlots, state, millis()});
  }
  nodes_[at]->slots->SetInstances(views, now_);
}

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
        Do(sub, sub->call->CallerLeft());
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
  const auto knows = claims ? key_knowledge::kUnknown : key_knowledge::kNoKey;
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
  call_plan plan;
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

void world::DoOne(const sub_ptr& sub, const call_action& act) {
  using action = call_action::action;
  const size_t at = sub->owner;
  node& there = *nodes_[at];
  const request& asked = requests_[sub->request];
  switch (act.act) {
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
          {now_ + asked.timeout, "z", asked.idempotent, act.instance}, now_);
      AtNode(at, now_, [this, at] { Pump(at); });
      return;
    case action::kAttempt:
      AtStep(sub, at, path_step::kConnect,
             [this, sub, act] { Connect(sub, act.instance); });
      return;
    case action::kFreeSlot:
      there.slots->Release(sub->slot, now_);
      return;
    case action::kFreeSlotAt:
      there.slots->ReleaseAt(sub->slot, act.at);
      return;
    case action::kAbandon:
      there.slots->Abandon(sub->slot, now_);
      return;
    case action::kReply:
      AtStep(sub, at, path_step::kReply,
             [this, sub, act] { Reply(sub, act.why, act.said); });
      return;
    case action::kComplete:
      AtStep(sub, at, path_step::kRelease, [this, sub, at, act] {
        nodes_[at]->claims->Complete(sub->claim, act.status);
      });
      return;
    case action::kReleaseClaim:
      AtStep(sub, at, path_step::kRelease, [this, sub, at] {
        nodes_[at]->claims->Release(sub->claim, now_);
      });
      return;
    case action::kLeaveClaim:
      there.claims->Leave(sub->claim);
      return;
  }
}

void world::Pump(size_t at) {
  node& there = *nodes_[at];
  const millis wall = now_ + millis(kEpoch) + there.skew;
  const claim_step step = there.claims->Tick(now_, wall);
  if (step.append) {
    Append(at, *step.append);
  }
  const uint64_t incarnation = there.incarnation;
  for (const claim_outcome& outcome : step.outcomes) {
    if (there.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = there.by_claim[outcome.submission];
    Do(sub, sub->call->ClaimAnswered(outcome));
  }
  for (const shard_action& done : there.slots->Tick(now_)) {
    if (there.incarnation != incarnation) {
      return;
    }
    const sub_ptr sub = there.by_slot[done.id];
    if (done.act == shard_action::action::kGrant) {
      Do(sub, sub->call->Granted(done.instance, now_));
    } else {
      Do(sub, sub->call->Refused(done.why, done.retry_after));
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
      nodes_[at]->claims->AppendEnded();
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
    EndAttempt(att, attempt_ending::kTimeout);
    return;
  }
  auto& trouble = att->sub->upstream_fault;
  if (trouble == fault::kResetBeforeWrite) {
    trouble.reset();
    EndAttempt(att, attempt_ending::kReset);
    return;
  }
  att->end.written = written_part::kAll;
  if (!Lost(att->node, true)) {
    At(now_ + Soon(1, random_.Below(20) == 0 ? 900 : 3),
       [this, att] { Arrive(att); });
  }
  AtStep(att->sub, att->node, path_step::kWait, [this, att] {
    if (att->sub->upstream_fault == fault::kResetAfterWrite && !att->over) {
      att->sub->upstream_fault.reset();
      EndAttempt(att, attempt_ending::kReset);
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
      att->end.read = truncated || reset ? read_part::kPart : read_part::kWhole;
      EndAttempt(att, truncated ? attempt_ending::kClosed
                      : reset   ? attempt_ending::kReset
                                : attempt_ending::kAnswered);
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
  if (att->end.written == written_part::kNothing) {
    EndAttempt(att, attempt_ending::kTimeout);
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
      EndAttempt(att, attempt_ending::kTimeout);
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

void world::EndAttempt(const attempt_ptr& att, attempt_ending ended) {
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
     att->sub->call->AttemptEnded(att->end, kCreated, now_, there.budget));
  AtNode(att->node, now_, [this, at = att->node] { Pump(at); });
}

void world::Reply(const sub_ptr& sub, reason why, verdict said) {
  sub->saying_at_owner = submission::saying{now_, said, why};
  if (why == reason::kAnswered &&
      !(sub->current && sub->current->finished &&
        sub->current->end.read == read_part::kWhole)) {
    ++result_.foreign;
  }
  if (sub->owner == sub->entry) {
    Hear(sub, why, said);
    return;
  }
  if (!Lost(sub->owner, true) && !Lost(sub->entry, false)) {
    AtNode(sub->entry, now_ + Soon(1, 3),
           [this, sub, why, said] { Hear(sub, why, said); });
  }
}

// The entry node answers its caller, once.
void world::Hear(const sub_ptr& sub, reason why, verdict said) {
  if (sub->told) {
    return;
  }
  sub->told = true;
  if (sub->caller_gone) {
    return;
  }
  At(now_ + millis(1), [this, sub, why, said] {
    if (sub->caller_gone) {
      return;
    }
    sub->heard = true;
    sub->saying_heard = submission::saying{now_, said, why};
    ++result_.replies;
    ++result_.reasons[static_cast<size_t>(why)];
    result_.answered += why == reason::kAnswered ? 1 : 0;
    result_.told_not_run += said == verdict::kNotRun ? 1 : 0;
    result_.told_may_have_run += said == verdict::kMayHaveRun ? 1 : 0;
    if (said == verdict::kRan) {
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

void world::KeepPumping(size_t at) {
  const node& there = *nodes_[at];
  if (there.up && there.paused_until <= now_) {
    Pump(at);
  }
  if (now_ < last_sent_ + kQuiet) {
    At(now_ + kPumpInterval, [this, at] { KeepPumping(at); });
  }
}

world_result world::Run() {
  for (size_t i = 0; i < requests_.size(); ++i) {
    At(now_ + Soon(0, 300),
       [this, i] { Send(i, random_.Below(kNodes), false); });
    if (requests_[i].keyed && (habits_.twins || random_.Below(4) == 0)) {
      At(now_ + Soon(0, 330),
         [this, i] { Send(i, random_.Below(kNodes), true); });
    }
  }
  last_sent_ = now_;
  for (size_t i = 0; i < kNodes; ++i) {
    KeepPumping(i);
  }
  while (!events_.empty()) {
    const scheduled next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  Judge();
  for (const sub_ptr& sub : submissions_) {
    sub->current.reset();  // It points back to its submission.
  }
  return result_;
}

// Compares what callers were told with the upstreams' own records.
void world::Judge() {
  for (const request& asked : requests_) {
    const int runs = static_cast<int>(asked.runs.size());
    if (!asked.idempotent) {
      result_.duplicates += std::max(0, runs - 1);
    }
  }
  for (const sub_ptr& sub : submissions_) {
    const request& asked = requests_[sub->request];
    const auto& heard = sub->saying_heard;
    if (!heard) {
      result_.unanswered += crashed_ || sub->caller_gone ? 0 : 1;
      continue;
    }
    const bool by_key = asked.keyed && !asked.idempotent;
    bool ran = false;
    for (const auto& run : asked.runs) {
      const submission& runner = *submissions_[run.submission];
      const bool own = run.submission == sub->id;
      // A submission that came to its owner before this one was told not_run
      // must not run, nor have run.
      const millis told =
          sub->saying_at_owner ? sub->saying_at_owner->at : heard->at;
      const bool counts =
          own || (by_key && (runner.owner_at <= told || run.at <= heard->at));
      result_.false_not_run +=
          counts && heard->said == verdict::kNotRun ? 1 : 0;
      ran = ran || own || by_key;
    }
    result_.false_ran += heard->said == verdict::kRan && !ran ? 1 : 0;
  }
}

}  // namespace

world_result RunWorld(uint64_t seed, std::vector<planned_fault> faults,
                      caller_habits habits) {
  return world(seed, std::move(faults), habits).Run();
}

}  // namespace peridotarch
