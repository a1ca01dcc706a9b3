// What the instances say about themselves in their answers.
#include <algorithm>

#include "balance/instance_selector.h"

namespace peridotarch {

namespace {

// The nodes that an instance turned away at the same moment do not return
// together.
constexpr double kReturnSpread = 0.25;  // of the rest
constexpr double kMaxReturnSpreadMs = 500;

}  // namespace

void instance_selector::NoteAnswer(const instance_entry& instance,
                                   const answer_notice& notice, millis now) {
  if (notice.is_misdirected) {
    if (notice.leaving) {
      NoteLeavingAt(instance, now);
    }
    return;
  }
  if (notice.rest > millis(0)) {
    const millis rest = std::min(notice.rest, kMaxRest);
    const double spread = std::min(
        kReturnSpread * static_cast<double>(rest.count()), kMaxReturnSpreadMs);
    const millis later(static_cast<int64_t>(spread * random_.Unit()));
    notices_.NoteRest(instance, now + rest + later, now);
  }
  if (notice.leaving) {
    NoteLeaving(instance, now);
  }
}

// The answer may be from an earlier start than the one that is listed now.
void instance_selector::NoteLeaving(const instance_entry& instance,
                                    millis now) {
  const instance_key key = KeyOf(instance.id);
  const auto found = instances_.find(key);
  const bool is_over = found != instances_.end() &&
                       found->second.entry.started_at > instance.started_at;
  if (!is_over && notices_.NoteLeaving(instance, "", now)) {
    AddRecentOutcome(key, attempt_outcome::kLeaving, now,
                     StartKeyOf(instance.started_at));
  }
}

// An answer that another instance gave at the address is from the instance that
// is listed there under another id. If that entry is wrong too, no request can
// reach its instance there.
void instance_selector::NoteLeavingAt(const instance_entry& address,
                                      millis now) {
  for (const auto& [key, instance] : instances_) {
    if (instance.is_listed && instance.entry.id != address.id &&
        instance.entry.address == address.address &&
        instance.entry.port == address.port) {
      NoteLeaving(instance.entry, now);
    }
  }
}

bool instance_selector::MaySend(const instance_entry& instance,
                                millis now) const {
  return notices_.MaySend(KeyOf(instance.id), now);
}

bool instance_selector::AllLeave(
    const std::vector<tracked_instance*>& members) const {
  return std::all_of(members.begin(), members.end(),
                     [this](const tracked_instance* instance) {
                       return notices_.IsLeaving(instance->key);
                     });
}

millis instance_selector::RestLeft(std::string_view service, millis now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return millis(0);
  }
  millis shortest;
  for (const tracked_instance* instance : found->second) {
    if (notices_.IsLeaving(instance->key)) {
      continue;
    }
    const millis left = notices_.RestLeft(instance->key, now);
    if (left == millis(0)) {
      return millis(0);
    }
    shortest = shortest == millis(0) ? left : std::min(shortest, left);
  }
  return shortest;
}

}  // namespace peridotarch
