#include "balance/instance_notices.h"

#include <algorithm>

namespace peridotarch {

namespace {

// An entry that is listed again after an outage of the store must not free the
// instance. No outage that the fleet outlives takes longer.
constexpr millis kUnlistedMemory(3'600'000);

}  // namespace

instance_notices::notice* instance_notices::FindOrAdd(instance_key key,
                                                      int64_t started_at,
                                                      millis now) {
  notice& known = notices_[key];
  if (started_at < known.started_at) {
    return nullptr;
  }
  if (started_at > known.started_at) {
    known = {};
    known.started_at = started_at;
  }
  known.seen_at = now;
  return &known;
}

bool instance_notices::NoteLeaving(instance_key key, int64_t started_at,
                                   millis now) {
  notice* known = FindOrAdd(key, started_at, now);
  if (known == nullptr || known->leaving) {
    return false;
  }
  known->leaving = true;
  return true;
}

// Requests that were in flight together may be refused with different times.
// Each asks for its own, so the latest end counts.
bool instance_notices::NoteRest(instance_key key, int64_t started_at,
                                millis until, millis now) {
  notice* known = FindOrAdd(key, started_at, now);
  if (known == nullptr) {
    return false;
  }
  const bool is_new = known->rest_until <= now;
  known->rest_until = std::max(known->rest_until, until);
  known->max_in_flight = 1;
  return is_new;
}

void instance_notices::NoteListed(instance_key key, int64_t started_at,
                                  millis now) {
  const auto found = notices_.find(key);
  if (found == notices_.end()) {
    return;
  }
  if (started_at > found->second.started_at) {
    notices_.erase(found);
  } else {
    found->second.seen_at = now;
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
  std::erase_if(notices_, [now](const auto& item) {
    const notice& known = item.second;
    const bool has_effect = known.leaving || now < known.rest_until ||
                            known.max_in_flight != kNoLimit;
    return !has_effect || now - known.seen_at > kUnlistedMemory;
  });
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
