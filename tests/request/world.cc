#include <algorithm>
#include <string>
#include <utility>

#include "tests/request/world_run.h"

namespace peridotarch {

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
  there.claims = std::make_unique<claimer>(random_(), key_window());
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
          counts && heard->run_verdict == verdict::kNotRun ? 1 : 0;
      ran = ran || own || by_key;
    }
    result_.false_ran += heard->run_verdict == verdict::kRan && !ran ? 1 : 0;
  }
}

world_result RunWorld(uint64_t seed, std::vector<planned_fault> faults,
                      caller_habits habits) {
  return world(seed, std::move(faults), habits).Run();
}

}  // namespace peridotarch
