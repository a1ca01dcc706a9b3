#include <algorithm>
#include <string>
#include <utility>

#include "tests/request/world_run.h"

namespace peridotarch {

world::world(uint64_t seed, std::vector<planned_fault> faults,
             caller_options options)
    : random_(seed), faults_(std::move(faults)), options_(options) {
  for (size_t i = 0; i < kInstances; ++i) {
    instances_.push_back(std::make_unique<instance>());
  }
  for (size_t i = 0; i < kNodes; ++i) {
    nodes_.push_back(std::make_unique<node>());
    nodes_[i]->clock_skew = millis(static_cast<int64_t>(random_.Below(20'000)));
    Crash(i);
    nodes_[i]->up = true;
  }
  crashed_ = false;
  for (size_t i = 0; i < options.requests; ++i) {
    request made;
    const uint64_t kind = random_.Below(10);
    made.idempotent = i > 0 && kind == 0;
    made.keyed = i == 0 || kind != 1;
    made.key =
        *ParseRequestKey("payout-desk", std::to_string(kEpoch) + "-token" +
                                            std::to_string(1000 + i));
    made.timeout = RandomDelay(200, 700);
    requests_.push_back(made);
  }
}

millis world::RandomDelay(int64_t min_ms, int64_t max_ms) {
  const auto span = static_cast<uint64_t>(max_ms - min_ms + 1);
  return millis(min_ms + static_cast<int64_t>(random_.Below(span)));
}

void world::Schedule(millis when, call run) {
  events_.push({std::max(when, now_), ++order_, std::move(run)});
}

// Schedules an event on a node. The event is dropped if the node has crashed
// since and postponed while the node is paused.
void world::ScheduleAtNode(size_t at, millis when, call run) {
  const uint64_t incarnation = nodes_[at]->incarnation;
  Schedule(when, [this, at, incarnation, run = std::move(run)]() {
    node& target = *nodes_[at];
    if (!target.up || target.incarnation != incarnation) {
      return;
    }
    if (target.paused_until > now_) {
      ScheduleAtNode(at, target.paused_until, run);
      return;
    }
    run();
  });
}

bool world::IsCut(size_t at, bool outgoing) {
  const node& target = *nodes_[at];
  return now_ < (outgoing ? target.cut_out_until : target.cut_in_until);
}

void world::RunStep(const sub_ptr& sub, size_t at, path_step step, call run) {
  ScheduleAtNode(at, now_, std::move(run));
  for (auto planned = faults_.begin(); planned != faults_.end(); ++planned) {
    if (planned->step == step && planned->request == sub->request) {
      const fault kind = planned->kind;
      faults_.erase(planned);
      ++result_.injected;
      InjectFault(kind, sub, at);
      return;
    }
  }
}

void world::InjectFault(fault kind, const sub_ptr& sub, size_t at) {
  node& target = *nodes_[at];
  switch (kind) {
    case fault::kCrash:
      Crash(at);
      Schedule(now_ + kRestartTime, [this, at] { nodes_[at]->up = true; });
      return;
    case fault::kPause:
      target.paused_until = now_ + RandomDelay(300, 3'000);
      return;
    case fault::kOwnerChange:
      for (const auto& each : nodes_) {
        if (random_.Below(3) > 0) {
          each->owner_view = (at + 1) % kNodes;
        }
      }
      return;
    case fault::kLogAway:
      log_away_until_ = now_ + RandomDelay(200, 3'000);
      return;
    case fault::kAppendAnswerLost:
      target.cut_in_until = now_ + RandomDelay(5, 30);
      return;
    case fault::kCutOut:
      target.cut_out_until = now_ + RandomDelay(50, 1'500);
      return;
    case fault::kCutIn:
      target.cut_in_until = now_ + RandomDelay(50, 1'500);
      return;
    case fault::kDrain: {
      const size_t leaving = random_.Below(kInstances);
      instances_[leaving]->draining = true;
      Schedule(now_ + RandomDelay(5, 200), [this, leaving] {
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
      sub->upstream_fault = kind;
      return;
  }
}

// A restarted process has a new writer, an empty table and no knowledge of
// slots in use.
void world::Crash(size_t at) {
  node& target = *nodes_[at];
  crashed_ = true;
  target.up = false;
  ++target.incarnation;
  target.claims = std::make_unique<claimer>(random_(), key_window());
  target.slots = std::make_unique<shard>();
  target.by_claim.clear();
  target.by_slot.clear();
  target.reading = false;
  target.paused_until = millis();
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

void world::PumpRegularly(size_t at) {
  const node& target = *nodes_[at];
  if (target.up && target.paused_until <= now_) {
    Pump(at);
  }
  if (now_ < last_sent_ + kRunOnTime) {
    Schedule(now_ + kPumpInterval, [this, at] { PumpRegularly(at); });
  }
}

world_result world::Run() {
  for (size_t i = 0; i < requests_.size(); ++i) {
    Schedule(now_ + RandomDelay(0, 300),
             [this, i] { Send(i, random_.Below(kNodes), false); });
    if (requests_[i].keyed && (options_.send_twice || random_.Below(4) == 0)) {
      Schedule(now_ + RandomDelay(0, 330),
               [this, i] { Send(i, random_.Below(kNodes), true); });
    }
  }
  last_sent_ = now_;
  for (size_t i = 0; i < kNodes; ++i) {
    PumpRegularly(i);
  }
  while (!events_.empty()) {
    const scheduled next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  CheckReplies();
  for (const sub_ptr& sub : submissions_) {
    sub->current.reset();  // The attempt points back to `sub`.
  }
  return result_;
}

// Compares what callers were told with the upstreams' own records.
void world::CheckReplies() {
  for (const request& asked : requests_) {
    const int runs = static_cast<int>(asked.runs.size());
    if (!asked.idempotent) {
      result_.duplicates += std::max(0, runs - 1);
    }
  }
  for (const sub_ptr& sub : submissions_) {
    const request& asked = requests_[sub->request];
    const auto& heard = sub->reply_heard;
    if (!heard) {
      result_.unanswered += crashed_ || sub->caller_left ? 0 : 1;
      continue;
    }
    const bool by_key = asked.keyed && !asked.idempotent;
    bool ran = false;
    for (const auto& run : asked.runs) {
      const submission& runner = *submissions_[run.submission];
      const bool own = run.submission == sub->id;
      // A submission that came to its owner before this one was told not_run
      // must neither run nor have run.
      const millis told_at =
          sub->reply_at_owner ? sub->reply_at_owner->at : heard->at;
      const bool counts =
          own ||
          (by_key && (runner.owner_at <= told_at || run.at <= heard->at));
      result_.false_not_run +=
          counts && heard->run_verdict == verdict::kNotRun ? 1 : 0;
      ran = ran || own || by_key;
    }
    result_.false_ran += heard->run_verdict == verdict::kRan && !ran ? 1 : 0;
  }
}

world_result RunWorld(uint64_t seed, std::vector<planned_fault> faults,
                      caller_options options) {
  return world(seed, std::move(faults), options).Run();
}

}  // namespace peridotarch
