#include "proxy/shard_judge.h"

#include <glog/logging.h>

#include <utility>
#include <variant>

#include "config/snapshot.h"
#include "core/hash.h"
#include "inner/forwarded_call.h"
#include "proxy/node.h"
#include "proxy/upstream_link.h"
#include "request/shard_map.h"

namespace peridotarch {

namespace {

constexpr int kFirstServerError = 500;

outcome_kind KindOf(const attempt_result& result) {
  if (result.end.shed) {
    return outcome_kind::kShed;
  }
  // The instance was answering when its answer was dropped here.
  if (result.memory_short) {
    return outcome_kind::kOk;
  }
  switch (result.end.ended) {
    case attempt_end_cause::kAnswered:
      return result.answer.result_int() >= kFirstServerError
                 ? outcome_kind::kError
                 : outcome_kind::kOk;
    case attempt_end_cause::kRefused:
      return outcome_kind::kRefused;
    case attempt_end_cause::kTimeout:
      return outcome_kind::kTimeout;
    default:
      return outcome_kind::kError;
  }
}

uint32_t RouteOf(const forwarded_call& call) {
  return static_cast<uint32_t>(Hash64(call.route));
}

}  // namespace

shard_judge::shard_judge(node& parent, std::string service, int index,
                         std::function<void(std::string)> probe)
    : node_(parent),
      service_(std::move(service)),
      index_(index),
      probe_(std::move(probe)) {
  StartJudge();
}

// A judge that has given up its rights stays without; a shard that is owned
// anew starts with a fresh one, which reads the ledger from its start.
void shard_judge::StartJudge() {
  judge_.emplace(detector_identity{node_.settings.node, node_.incarnation,
                                   service_, index_});
  next_record_ = 0;
  log_away_ = true;
  if (rule_) {
    judge_->SetService(*rule_, shards_);
    Do(judge_->SetInstances(hosts_, own_, steady_clock::Now()));
  }
}

void shard_judge::SetHosts(const host_list& hosts,
                           const config_snapshot& config) {
  const service_rule* rule = config.FindService(service_);
  if (rule == nullptr) {
    return;
  }
  rule_ = *rule;
  slots_ = rule->slots_per_instance;
  floor_ = rule->floor;
  shards_ = ShardCount(rule->floor);
  hosts_.clear();
  own_.clear();
  entries_.clear();
  by_hand_.clear();
  for (const host& entry : hosts.hosts) {
    if (entry.service != service_) {
      continue;
    }
    hosts_.push_back(entry);
    if (ShardOfInstance(service_, entry.id, shards_) != index_) {
      continue;
    }
    own_.push_back(entry.id);
    entries_.emplace(entry.id, entry);
    if (const auto* by_hand = config.FindInstance(service_, entry.id)) {
      by_hand_.emplace(entry.id, by_hand->act);
    }
  }
  judge_->SetService(*rule, shards_);
  Do(judge_->SetInstances(hosts_, own_, steady_clock::Now()));
  changed_ = true;
}

void shard_judge::SetOwned(bool owned) {
  if (owned == owned_) {
    return;
  }
  owned_ = owned;
  node_.events.Add(wall_clock::Now(), event_kind::kOwnerChanged,
                   service_ + "/" + std::to_string(index_),
                   owned ? "owned here" : "no longer owned here");
  if (owned) {
    StartJudge();
  } else {
    Do(judge_->Resign(wall_clock::Now()));
  }
  changed_ = true;
}

void shard_judge::OnStart(const std::string& instance, ticket attempt,
                          const forwarded_call& call) {
  judge_->OnStart(instance, attempt, RouteOf(call), steady_clock::Now());
}

void shard_judge::OnEnd(const std::string& instance, ticket attempt,
                        const forwarded_call& call,
                        const attempt_result& result, int64_t latency_us) {
  outcome ended;
  ended.kind = KindOf(result);
  ended.latency_us = latency_us;
  ended.route = RouteOf(call);
  const millis now = steady_clock::Now();
  Do(judge_->OnOutcome(instance, attempt, ended, now));
  if (!result.draining) {
    return;
  }
  const auto known = entries_.find(instance);
  if (known != entries_.end()) {
    Do(judge_->OnLeaving(instance, known->second.incarnation, now));
  }
}

void shard_judge::OnProbe(const std::string& instance, bool answered) {
  Do(judge_->OnProbe(instance, answered, steady_clock::Now()));
}

void shard_judge::OnLeaving(const leaving_note& note) {
  if (note.service == service_) {
    Do(judge_->OnLeaving(note.instance, note.incarnation, steady_clock::Now()));
  }
}

void shard_judge::OnOpinion(const opinion_note& opinion) {
  if (opinion.service == service_) {
    Do(judge_->OnOpinion(opinion, steady_clock::Now()));
  }
}

bool shard_judge::Tick() {
  ReadLedger();
  judge_->SetNodeSelfDoubt(node_.doubts.load());
  Do(judge_->Tick(steady_clock::Now(), wall_clock::Now()));
  return std::exchange(changed_, false);
}

void shard_judge::ReadLedger() {
  for (const log_record& record : node_.ledger.Take(&next_record_)) {
    judge_->OnEjectionRecord(record.data, record.appended_at);
  }
  const bool away = node_.ledger.Away();
  if (away != log_away_) {
    log_away_ = away;
    Do(judge_->SetLogAway(away));
  }
}

std::vector<instance_view> shard_judge::Views() const {
  std::vector<instance_view> views;
  for (const auto& [id, entry] : entries_) {
    instance_view view;
    view.id = id;
    view.zone = entry.zone;
    view.slots = slots_;
    view.state = judge_->StateOf(id);
    const auto by_hand = by_hand_.find(id);
    if (by_hand != by_hand_.end() && view.state != instance_state::kLeaving) {
      view.state = by_hand->second == instance_rule::action::kDrain
                       ? instance_state::kLeaving
                       : instance_state::kOpen;
    }
    const auto cold = cold_since_.find(id);
    if (cold != cold_since_.end()) {
      view.since = cold->second;
    }
    views.push_back(std::move(view));
  }
  return views;
}

void shard_judge::Publish(const shard& scheduler) {
  shard_status status;
  status.service = service_;
  status.shard = index_;
  status.shards = shards_;
  status.floor = floor_;
  status.queued = static_cast<int>(scheduler.queued());
  std::map<std::string, std::string> reasons;
  for (const state_change& state : judge_->States()) {
    reasons.emplace(state.instance, state.reason);
  }
  for (const instance_view& view : Views()) {
    instance_status one;
    one.id = view.id;
    one.zone = view.zone;
    one.state = view.state;
    one.reason = by_hand_.contains(view.id) ? "by hand" : reasons[view.id];
    one.slots = view.slots;
    one.busy = scheduler.InFlightAt(view.id);
    status.instances.push_back(std::move(one));
  }
  const std::lock_guard lock(status_mutex_);
  status_ = std::move(status);
}

shard_status shard_judge::Status() const {
  const std::lock_guard lock(status_mutex_);
  return status_;
}

void shard_judge::Do(detector_actions actions) {
  for (detector_action& action : actions) {
    std::visit([this](auto& one) { Do(std::move(one)); }, action);
  }
}

void shard_judge::Do(state_change action) {
  changed_ = true;
  if (action.state == instance_state::kCold) {
    cold_since_[action.instance] = steady_clock::Now();
  }
  LOG(INFO) << service_ << " " << action.instance << " is "
            << ToName(action.state) << ": " << action.reason;
}

void shard_judge::Do(ledger_append action) {
  node_.port.append_ejections(std::move(action.bytes));
}

void shard_judge::Do(opinion_request action) {
  node_.port.ask_opinions(std::move(action.about));
}

void shard_judge::Do(probe_request action) {
  probe_(std::move(action.instance));
}

void shard_judge::Do(leaving_announcement action) {
  node_.port.note_leaving(std::move(action.note));
}

// The instance stays suspect here, so its work goes to others first; moving
// the shard for one instance would move the work of all.
void shard_judge::Do(unreachable_here action) {
  node_.events.Add(wall_clock::Now(), event_kind::kInstanceSuspected,
                   service_ + "/" + action.instance,
                   "peers reach it, this node does not");
}

void shard_judge::Do(timeline_entry action) {
  node_.events.Add(wall_clock::Now(), action.kind, std::move(action.subject),
                   std::move(action.detail));
}

}  // namespace peridotarch
