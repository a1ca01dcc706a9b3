#include "request/shard.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotarch {

namespace {

constexpr double kServiceTimeWeight = 0.1;  // Weight of the newest sample.
constexpr millis kMinRetryAfter{100};
constexpr millis kTickInterval{5};
constexpr millis kFarFuture{std::numeric_limits<int64_t>::max()};

}  // namespace

void shard::SetInstances(std::span<const instance_view> instances,
                         millis /*now*/) {
  slots_.SetInstances(instances);
}

void shard::Admit(ticket id, const call_info& call, millis now) {
  NoteIfEmpty(now);
  if (call.deadline <= now) {
    Refuse(id, reason::kDeadlineExpired, kMinRetryAfter);
    return;
  }
  // Trials do not count as capacity: a call that only an instance on probation
  // could take is refused.
  if (!slots_.HasRegularInstance()) {
    Refuse(id, reason::kNoCapacity, kMinRetryAfter);
    return;
  }
  const int slots = slots_.TotalSlots(now);
  const millis wait = ExpectedWait(call.deadline, slots);
  const int limit = std::max(limits_.max_per_slot * slots, 1);
  if (queue_.size() >= static_cast<size_t>(limit)) {
    Refuse(id, reason::kQueueFull, wait);
    return;
  }
  const millis service{std::llround(mean_service_ms_)};
  if (!queue_.empty() && now + wait + service > call.deadline) {
    Refuse(id, reason::kOverloaded, wait);
    return;
  }
  const queue_key key{call.deadline, ++arrivals_};
  queue_.emplace(key, waiting_call{id, call, now});
  queued_.emplace(id, key);
}

void shard::Release(ticket id, millis now) {
  const auto found = granted_.find(id);
  if (found == granted_.end()) {
    return;
  }
  const granted_call& call = found->second;
  const auto held_ms = static_cast<double>((now - call.granted_at).count());
  mean_service_ms_ += kServiceTimeWeight * (held_ms - mean_service_ms_);
  if (call.free_at != kFarFuture) {
    --detached_count_;
  }
  slots_.Free(call.instance);
  granted_.erase(found);
}

void shard::ReleaseAt(ticket id, millis until) {
  const auto found = granted_.find(id);
  if (found == granted_.end()) {
    return;
  }
  if (found->second.free_at == kFarFuture) {
    ++detached_count_;
  }
  found->second.free_at = until;
}

void shard::Dequeue(ticket id, millis now) {
  const auto found = queued_.find(id);
  if (found == queued_.end()) {
    return;
  }
  queue_.erase(found->second);
  queued_.erase(found);
  NoteIfEmpty(now);
}

void shard::NoteShed(const std::string& instance, millis now) {
  slots_.NoteShed(instance, now);
}

std::vector<shard_action> shard::Tick(millis now) {
  FreeDetached(now);
  RefuseLate(now);
  GrantQueued(now);
  NoteIfEmpty(now);
  return std::exchange(actions_, {});
}

millis shard::NextTick(millis now) const {
  const bool is_waiting =
      !actions_.empty() || !queue_.empty() || detached_count_ > 0;
  return is_waiting ? now + kTickInterval : kFarFuture;
}

double shard::Load(millis now) const {
  const auto wanted = static_cast<double>(granted_.size() + queue_.size());
  return wanted / std::max(slots_.TotalSlots(now), 1);
}

millis shard::ExpectedWait(millis deadline, int slots) const {
  const queue_key last{deadline, std::numeric_limits<uint64_t>::max()};
  const auto calls_ahead =
      std::distance(queue_.begin(), queue_.upper_bound(last));
  const double turns =
      static_cast<double>(calls_ahead + 1) / std::max(slots, 1);
  return millis(std::llround(turns * mean_service_ms_));
}

// Controlled delay: a queue that has not been empty for a while is a standing
// queue. Waiting in it only adds latency, so the allowed delay is cut to the
// mean time for which a slot is held.
millis shard::AllowedDelay(millis now) const {
  if (now - last_empty_at_ <= limits_.overload_after) {
    return kFarFuture;
  }
  return std::max(limits_.min_queue_delay,
                  millis(std::llround(mean_service_ms_)));
}

void shard::NoteIfEmpty(millis now) {
  if (queue_.empty()) {
    last_empty_at_ = now;
  }
}

void shard::Refuse(ticket id, reason why, millis retry_after) {
  actions_.push_back({shard_action::action::kRefuse, id, "", why,
                      std::max(retry_after, kMinRetryAfter)});
}

void shard::FreeDetached(millis now) {
  if (detached_count_ == 0) {
    return;
  }
  for (auto call = granted_.begin(); call != granted_.end();) {
    if (call->second.free_at > now) {
      ++call;
      continue;
    }
    --detached_count_;
    slots_.Free(call->second.instance);
    call = granted_.erase(call);
  }
}

// Returns kAnswered for a call that may continue to wait.
reason shard::RefusalReason(const waiting_call& waiting, millis now) const {
  if (waiting.call.deadline <= now) {
    return reason::kDeadlineExpired;
  }
  if (!slots_.HasRegularInstance()) {
    return reason::kNoCapacity;
  }
  const bool is_late = now - waiting.queued_at > AllowedDelay(now);
  return is_late ? reason::kOverloaded : reason::kAnswered;
}

void shard::RefuseLate(millis now) {
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    const waiting_call& waiting = entry->second;
    const reason why = RefusalReason(waiting, now);
    if (why == reason::kAnswered) {
      ++entry;
      continue;
    }
    Refuse(waiting.id, why, millis(std::llround(mean_service_ms_)));
    queued_.erase(waiting.id);
    entry = queue_.erase(entry);
  }
}

// A call that waits for a certain instance does not block the calls behind it.
void shard::GrantQueued(millis now) {
  for (auto entry = queue_.begin();
       entry != queue_.end() && slots_.HasFreeSlot(now);) {
    const waiting_call& waiting = entry->second;
    const auto chosen = slots_.Choose(waiting.call, now);
    if (!chosen) {
      ++entry;
      continue;
    }
    GrantSlot(waiting, *chosen, now);
    queued_.erase(waiting.id);
    entry = queue_.erase(entry);
  }
}

void shard::GrantSlot(const waiting_call& waiting, size_t instance,
                      millis now) {
  slots_.Take(instance, now);
  granted_.emplace(waiting.id, granted_call{instance, now, kFarFuture});
  actions_.push_back({shard_action::action::kGrant, waiting.id,
                      slots_.InstanceAt(instance).id, reason::kAnswered,
                      millis()});
}

}  // namespace peridotarch
