#include "request/slot_table.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/trial_pace.h"

namespace peridotarch {

namespace {

bool TakesRegularWork(instance_state state) {
  return state == instance_state::kOpen || state == instance_state::kCold ||
         state == instance_state::kSuspect;
}

// Returns whether the instance is tested with a trickle of idempotent requests.
bool IsOnTrial(instance_state state) {
  return state == instance_state::kProbation ||
         state == instance_state::kSuspect;
}

}  // namespace

// An instance that left the list keeps its count until its work has ended, so
// that it is not overloaded when a lagging list brings it back.
void slot_table::SetInstances(std::span<const instance_view> instances) {
  for (instance_slots& known : instances_) {
    known.is_listed = false;
  }
  for (const instance_view& view : instances) {
    instance_slots& known = FindOrAdd(view.id);
    known.view = view;
    known.is_listed = true;
  }
}

// Reuses the entry of an instance that is gone and idle, which bounds the
// table.
slot_table::instance_slots& slot_table::FindOrAdd(const std::string& id) {
  instance_slots* vacant = nullptr;
  for (instance_slots& known : instances_) {
    if (known.view.id == id) {
      return known;
    }
    if (!known.is_listed && known.busy == 0) {
      vacant = &known;
    }
  }
  if (vacant == nullptr) {
    return instances_.emplace_back();
  }
  *vacant = {};
  return *vacant;
}

// The search starts at an index that moves on with each grant, so that equally
// good instances take turns.
std::optional<size_t> slot_table::Choose(const call_info& call,
                                         millis now) const {
  std::optional<size_t> best;
  const size_t count = instances_.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (grants_ + i) % count;
    if (!CanTake(instances_[index], call, now)) {
      continue;
    }
    if (!best || IsBetter(instances_[index], instances_[*best], call, now)) {
      best = index;
    }
  }
  return best;
}

void slot_table::Take(size_t index, millis now) {
  instance_slots& instance = instances_[index];
  Check(instance.view.state != instance_state::kLeaving, invariant::kLeaving);
  ++instance.busy;
  Check(instance.busy <= instance.view.slots, invariant::kSlots);
  if (IsOnTrial(instance.view.state)) {
    instance.next_trial_at = now + TrialInterval(instance.view.state);
    instance.trial_after_grants =
        grants_ + static_cast<uint64_t>(limits_.trial_divisor * CountOpen());
  }
  ++grants_;
}

void slot_table::Free(size_t index) {
  --instances_[index].busy;
  Check(instances_[index].busy >= 0, invariant::kSlots);
}

void slot_table::NoteShed(const std::string& instance, millis now) {
  for (instance_slots& known : instances_) {
    if (known.view.id == instance) {
      known.blocked_until = now + limits_.shed_backoff;
    }
  }
}

bool slot_table::HasFreeSlot(millis now) const {
  return std::any_of(instances_.begin(), instances_.end(),
                     [&](const auto& i) { return HasRoom(i, now); });
}

bool slot_table::HasRegularInstance() const {
  return std::any_of(instances_.begin(), instances_.end(), [](const auto& i) {
    return i.is_listed && TakesRegularWork(i.view.state);
  });
}

int slot_table::TotalSlots(millis now) const {
  int total = 0;
  for (const instance_slots& instance : instances_) {
    total += UsableSlots(instance, now);
  }
  return total;
}

int slot_table::InFlightAt(const std::string& instance) const {
  for (const instance_slots& known : instances_) {
    if (known.view.id == instance) {
      return known.busy;
    }
  }
  return 0;
}

// A cold instance starts with one slot and gets the others in equal steps.
int slot_table::UsableSlots(const instance_slots& instance, millis now) const {
  if (!instance.is_listed || !TakesRegularWork(instance.view.state)) {
    return 0;
  }
  const int slots = instance.view.slots;
  const int64_t age = (now - instance.view.since).count();
  const int64_t ramp = limits_.cold_ramp.count();
  if (instance.view.state != instance_state::kCold || age >= ramp) {
    return slots;
  }
  const int64_t opened = (slots - 1) * std::max<int64_t>(age, 0) / ramp;
  return 1 + static_cast<int>(opened);
}

bool slot_table::HasRoom(const instance_slots& instance, millis now) const {
  if (!instance.is_listed || now < instance.blocked_until) {
    return false;
  }
  if (instance.view.state == instance_state::kProbation) {
    return IsTrialDue(instance, now);
  }
  return instance.busy < UsableSlots(instance, now);
}

// The instance at which an earlier attempt failed is skipped as long as there
// is another.
bool slot_table::CanTake(const instance_slots& instance, const call_info& call,
                         millis now) const {
  if (!HasRoom(instance, now)) {
    return false;
  }
  if (instance.view.state == instance_state::kProbation && !call.idempotent) {
    return false;
  }
  return call.excluded_instance.empty() ||
         instance.view.id != call.excluded_instance ||
         !HasOtherRegular(call.excluded_instance);
}

// The count of grants matters in a service with little work for each instance:
// there, a fixed rate of trials would send an unhealthy instance more work than
// a healthy one gets.
bool slot_table::IsTrialDue(const instance_slots& instance, millis now) const {
  return instance.busy == 0 && now >= instance.next_trial_at &&
         grants_ >= instance.trial_after_grants;
}

int slot_table::CountOpen() const {
  return static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(), [](const auto& i) {
        return i.is_listed && i.view.state == instance_state::kOpen;
      }));
}

bool slot_table::HasOtherRegular(const std::string& excluded) const {
  return std::any_of(instances_.begin(), instances_.end(), [&](const auto& i) {
    return i.is_listed && TakesRegularWork(i.view.state) &&
           i.view.id != excluded;
  });
}

// A trial that is due comes first, because neither suspicion nor probation
// would end without work.
int slot_table::Rank(const instance_slots& instance, const call_info& call,
                     millis now) const {
  if (IsOnTrial(instance.view.state) && call.idempotent &&
      IsTrialDue(instance, now)) {
    return 0;
  }
  return instance.view.state == instance_state::kSuspect ? 2 : 1;
}

// Orders trials first and suspects last, then by the share of slots in use,
// then by the caller's zone.
bool slot_table::IsBetter(const instance_slots& left,
                          const instance_slots& right, const call_info& call,
                          millis now) const {
  const int left_rank = Rank(left, call, now);
  const int right_rank = Rank(right, call, now);
  if (left_rank != right_rank) {
    return left_rank < right_rank;
  }
  const int left_share = left.busy * std::max(UsableSlots(right, now), 1);
  const int right_share = right.busy * std::max(UsableSlots(left, now), 1);
  if (left_share != right_share) {
    return left_share < right_share;
  }
  return left.view.zone == call.zone && right.view.zone != call.zone;
}

}  // namespace peridotarch
