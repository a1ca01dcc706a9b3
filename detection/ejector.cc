#include "detection/ejector.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

/// How often leases and allowances are renewed, so that an outage of the log
/// finds them with most of their span left.
constexpr millis kRenewEvery(15 * 60'000);
constexpr millis kRetryEvery(1'000);
constexpr millis kGrowEvery(10'000);
constexpr millis kAnchorWait(2 * 15 * 60'000);

bool InForce(millis until, millis wall) { return until - kClockMargin > wall; }

const ejection_lease* FindLease(const ejection_record& record,
                                const std::string& holder,
                                const std::string& instance,
                                uint64_t incarnation) {
  for (const ejection_lease& each : record.leases) {
    if (each.holder == holder && each.instance == instance &&
        each.incarnation == incarnation) {
      return &each;
    }
  }
  return nullptr;
}

const ejection_allowance* FindAllowance(const ejection_record& record,
                                        const std::string& holder) {
  for (const ejection_allowance& each : record.allowances) {
    if (each.holder == holder) {
      return &each;
    }
  }
  return nullptr;
}

}  // namespace

ejector::ejector(std::string service, std::string holder)
    : ledger_(std::move(service)), holder_(std::move(holder)) {}

// Once the chain has moved on, a pending record has become the head or has
// become void for ever, since its base is no longer the head.
apply_result ejector::OnEjectionRecord(std::string_view bytes,
                                       millis appended_at) {
  const apply_result result = ledger_.Apply(bytes, appended_at);
  if (result == apply_result::kAccepted) {
    pending_.reset();
  }
  return result;
}

void ejector::SetWanted(std::vector<wanted_ejection> wanted,
                        capacity_view view) {
  wanted_ = std::move(wanted);
  view_ = std::move(view);
}

// The same bytes are sent again until their fate is known: a copy of a record
// that has taken effect is void.
std::optional<std::string> ejector::Retry(millis wall) {
  if (wall < next_try_) {
    return std::nullopt;
  }
  next_try_ = wall + kRetryEvery;
  return pending_bytes_;
}

std::optional<std::string> ejector::Propose(millis wall) {
  if (log_away_ || resigned_) {
    return std::nullopt;
  }
  if (pending_) {
    return Retry(wall);
  }
  if (ledger_.head() && !ledger_.anchored()) {
    if (unanchored_since_ == millis()) {
      unanchored_since_ = wall;
    }
    if (wall - unanchored_since_ < kAnchorWait) {
      return std::nullopt;
    }
  }
  ejection_record desired = Desired(wall);
  if (!Due(desired, wall) ||
      ledger_.Judge(desired, wall) != apply_result::kAccepted) {
    return std::nullopt;
  }
  next_growth_ = wall + kGrowEvery;
  pending_bytes_ = Encode(desired);
  pending_ = std::move(desired);
  next_try_ = wall + kRetryEvery;
  return pending_bytes_;
}

std::optional<std::string> ejector::Resign(millis wall) {
  resigned_ = true;
  if (!ledger_.head()) {
    return std::nullopt;
  }
  const bool holds =
      FindAllowance(*ledger_.head(), holder_) != nullptr ||
      std::any_of(ledger_.head()->leases.begin(), ledger_.head()->leases.end(),
                  [&](const auto& each) { return each.holder == holder_; });
  if (!holds) {
    return std::nullopt;
  }
  ejection_record last = ledger_.MakeNext(holder_, wall);
  last.capacity_instances = view_.capacity_instances;
  last.floor = view_.floor;
  last.slots = view_.slots;
  return Encode(last);
}

// Each grant needs a right of this process and room above the floor in its own
// view, which counts every right of others as used.
std::set<std::string> ejector::Granted(millis wall) const {
  std::set<std::string> granted;
  if (resigned_) {
    return granted;
  }
  const std::set<std::string> others = OutByOthers(wall);
  const std::set<std::string_view> capacity_instances(
      view_.capacity_instances.begin(), view_.capacity_instances.end());
  int room = static_cast<int>(capacity_instances.size()) * view_.slots -
             view_.floor - static_cast<int>(others.size()) * view_.slots -
             AllowedToOthers(wall);
  int allowed = AllowedSlots(wall);
  for (const wanted_ejection& each : wanted_) {
    const bool lease = HoldsLease(each, wall);
    if (!lease && allowed < view_.slots) {
      continue;
    }
    // What is out by another's lease or is no capacity takes no room, but when
    // the others' rights alone exceed the room, each holder must give way: two
    // that hold the same instance cannot see which of them does.
    if (room < 0) {
      break;
    }
    const int cost = others.contains(each.instance) ||
                             !capacity_instances.contains(each.instance)
                         ? 0
                         : view_.slots;
    if (cost > 0 && cost > room) {
      continue;
    }
    room -= cost;
    allowed -= lease ? 0 : view_.slots;
    granted.insert(each.instance);
  }
  return granted;
}

int ejector::HeldBack() const {
  const int capacity =
      static_cast<int>(view_.capacity_instances.size()) * view_.slots;
  const int room = std::max(0, capacity - view_.floor) / view_.slots;
  return std::max(0, static_cast<int>(wanted_.size()) - room);
}

// The allowance comes first, then as many of the wanted leases as fit. All
// allowances together leave half of the spare capacity to leases, so that those
// of crashed processes do not use it up.
ejection_record ejector::Desired(millis wall) const {
  ejection_record next = ledger_.MakeNext(holder_, wall);
  next.capacity_instances = view_.capacity_instances;
  next.floor = view_.floor;
  next.slots = view_.slots;
  const millis until = wall + kLeaseSpan;
  const int spare = CapacitySlots(next) - view_.floor;
  const int share = view_.shards > 0 ? spare / 2 / view_.shards : 0;
  const int room = std::min({share, spare / 2 - AllowedToOthers(wall),
                             spare - ReservedSlots(next, wall)});
  const int slots = room / view_.slots * view_.slots;
  if (slots > 0) {
    next.allowances.push_back({holder_, slots, until});
  }
  for (const wanted_ejection& each : wanted_) {
    next.leases.push_back({each.instance, each.incarnation, holder_, each.since,
                           until, true, each.reason});
    if (CapacitySlots(next) - ReservedSlots(next, wall) < next.floor) {
      next.leases.pop_back();
    }
  }
  return next;
}

bool ejector::Due(const ejection_record& desired, millis wall) const {
  if (!ledger_.head()) {
    return !desired.leases.empty() || !desired.allowances.empty();
  }
  const ejection_record& head = *ledger_.head();
  const ejection_allowance* allowed = FindAllowance(head, holder_);
  const ejection_allowance* next = FindAllowance(desired, holder_);
  const int have = allowed != nullptr ? allowed->slots : 0;
  const int want = next != nullptr ? next->slots : 0;
  // A larger allowance can wait; a smaller one gives capacity back.
  if (want < have || (want > have && wall >= next_growth_)) {
    return true;
  }
  const millis renew_before = wall + kLeaseSpan - kRenewEvery;
  if (allowed != nullptr && want > 0 && allowed->until < renew_before) {
    return true;
  }
  size_t held = 0;
  for (const ejection_lease& each : head.leases) {
    if (each.holder != holder_) {
      continue;
    }
    ++held;
    if (each.until < renew_before || FindLease(desired, holder_, each.instance,
                                               each.incarnation) == nullptr) {
      return true;
    }
  }
  const auto wanted =
      std::count_if(desired.leases.begin(), desired.leases.end(),
                    [&](const auto& each) { return each.holder == holder_; });
  return static_cast<size_t>(wanted) != held;
}

// While a record of this process may or may not have taken effect, only what
// both it and the head grant is used.
bool ejector::HoldsLease(const wanted_ejection& wanted, millis wall) const {
  const auto in = [&](const ejection_record& record) {
    const ejection_lease* lease =
        FindLease(record, holder_, wanted.instance, wanted.incarnation);
    return lease != nullptr && lease->active && InForce(lease->until, wall);
  };
  return ledger_.head() && in(*ledger_.head()) && (!pending_ || in(*pending_));
}

int ejector::AllowedSlots(millis wall) const {
  const auto in = [&](const ejection_record& record) {
    const ejection_allowance* allowance = FindAllowance(record, holder_);
    return allowance != nullptr && InForce(allowance->until, wall)
               ? allowance->slots
               : 0;
  };
  if (!ledger_.head()) {
    return 0;
  }
  const int granted = in(*ledger_.head());
  return pending_ ? std::min(granted, in(*pending_)) : granted;
}

std::set<std::string> ejector::OutByOthers(millis wall) const {
  std::set<std::string> out;
  if (!ledger_.head()) {
    return out;
  }
  for (const ejection_lease& each : ledger_.head()->leases) {
    const bool in_basis =
        std::find(view_.capacity_instances.begin(),
                  view_.capacity_instances.end(),
                  each.instance) != view_.capacity_instances.end();
    if (each.holder != holder_ && each.until > wall && in_basis) {
      out.insert(each.instance);
    }
  }
  return out;
}

int ejector::AllowedToOthers(millis wall) const {
  int slots = 0;
  if (ledger_.head()) {
    for (const ejection_allowance& each : ledger_.head()->allowances) {
      slots += each.holder != holder_ && each.until > wall ? each.slots : 0;
    }
  }
  return slots;
}

}  // namespace peridotarch
