#include "balance/instance_notices.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotarch {

namespace {

// An entry that is listed again after an outage of the store must not free the
// instance. No outage that the fleet outlives takes longer.
constexpr millis kUnlistedMemory(3'600'000);

}  // namespace

instance_notices::notice* instance_notices::FindOrAdd(
    const instance_entry& instance, millis now) {
  const auto [found, is_new] = notices_.try_emplace(KeyOf(instance.id));
  notice& known = found->second;
  if (!is_new && instance.started_at < known.instance.started_at) {
    return nullptr;
  }
  if (!is_new && instance.started_at > known.instance.started_at) {
    AddEnd(known, notice_end::kNewStart);
    known = {};
  }
  known.instance = instance;
  known.seen_at = now;
  return &known;
}

bool instance_notices::NoteLeaving(const instance_entry& instance,
                                   const std::string& told_by, millis now) {
  notice* known = FindOrAdd(instance, now);
  if (known == nullptr || known->leaving) {
    return false;
  }
  known->leaving = true;
  known->told_by = told_by;
  changes_.push_back(
      {instance, notice_kind::kLeaving, told_by, millis(0), std::nullopt});
  return true;
}

// Requests that were in flight together may be refused with different times.
// Each asks for its own, so the latest end counts.
void instance_notices::NoteRest(const instance_entry& instance, millis until,
                                millis now) {
  notice* known = FindOrAdd(instance, now);
  if (known == nullptr) {
    return;
  }
  if (now >= known->rest_until) {
    changes_.push_back(
        {instance, notice_kind::kResting, "", until - now, std::nullopt});
  }
  known->resting = true;
  known->rest_until = std::max(known->rest_until, until);
  known->max_in_flight = 1;
}

void instance_notices::NoteListed(const instance_entry& instance, millis now) {
  const auto found = notices_.find(KeyOf(instance.id));
  if (found == notices_.end()) {
    return;
  }
  if (instance.started_at > found->second.instance.started_at) {
    AddEnd(found->second, notice_end::kNewStart);
    notices_.erase(found);
  } else {
    found->second.seen_at = now;
  }
}

void instance_notices::AddEnd(const notice& known, notice_end end) {
  if (known.leaving && end != notice_end::kElapsed) {
    changes_.push_back(
        {known.instance, notice_kind::kLeaving, known.told_by, millis(0), end});
  }
  if (known.resting) {
    changes_.push_back(
        {known.instance, notice_kind::kResting, "", millis(0), end});
  }
}

// Each good answer allows one more request at a time, so the rate doubles while
// the instance takes what it gets, and falls back once it sheds.
void instance_notices::NoteOutcome(instance_key key, attempt_outcome outcome,
                                   int slots, millis now) {
  const auto found = notices_.find(key);
  if (found == notices_.end() || now < found->second.rest_until ||
      found->second.max_in_flight == kNoLimit) {
    return;
  }
  int& limit = found->second.max_in_flight;
  if (outcome == attempt_outcome::kShed) {
    limit = 1;
  } else if (outcome == attempt_outcome::kOk) {
    limit = limit < slots ? limit + 1 : kNoLimit;
  }
}

void instance_notices::Prune(millis now) {
  for (auto at = notices_.begin(); at != notices_.end();) {
    notice& known = at->second;
    if (known.resting && now >= known.rest_until) {
      AddEnd(known, notice_end::kElapsed);
      known.resting = false;
    }
    const bool has_effect =
        known.leaving || known.resting || known.max_in_flight != kNoLimit;
    const bool is_forgotten = now - known.seen_at > kUnlistedMemory;
    if (is_forgotten) {
      AddEnd(known, notice_end::kForgotten);
    }
    at = is_forgotten || !has_effect ? notices_.erase(at) : std::next(at);
  }
}

std::vector<notice_change> instance_notices::TakeChanges() {
  return std::exchange(changes_, {});
}

bool instance_notices::IsLeaving(instance_key key) const {
  const auto found = notices_.find(key);
  return found != notices_.end() && found->second.leaving;
}

millis instance_notices::RestLeft(instance_key key, millis now) const {
  const auto found = notices_.find(key);
  return found == notices_.end()
             ? millis(0)
             : std::max(millis(0), found->second.rest_until - now);
}

int instance_notices::MaxInFlight(instance_key key, millis now) const {
  if (!MaySend(key, now)) {
    return 0;
  }
  const auto found = notices_.find(key);
  return found == notices_.end() ? kNoLimit : found->second.max_in_flight;
}

}  // namespace peridotarch
