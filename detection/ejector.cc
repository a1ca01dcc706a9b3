#include "detection/ejector.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

/// How often leases and allowances are renewed, so that most of their time is
/// left when an outage of the log begins.
constexpr millis kRenewInterval(15 * 60'000);
constexpr millis kRetryInterval(1'000);
constexpr millis kGrowInterval(10'000);  ///< Between larger allowances.
/// How long to wait until the chain is anchored: two renewal intervals.
constexpr millis kMaxAnchorWait(2 * 15 * 60'000);

bool InForce(millis until, millis wall) { return until - kClockMargin > wall; }

const ejection_lease* FindLease(const ejection_record& record,
                                const std::string& holder,
                                const std::string& instance,
                                uint64_t incarnation) {
  for (const ejection_lease& lease : record.leases) {
    if (lease.holder == holder && lease.instance == instance &&
        lease.incarnation == incarnation) {
      return &lease;
    }
  }
  return nullptr;
}

const ejection_allowance* FindAllowance(const ejection_record& record,
                                        const std::string& holder) {
  for (const ejection_allowance& allowance : record.allowances) {
    if (allowance.holder == holder) {
      return &allowance;
    }
  }
  return nullptr;
}

}  // namespace

ejector::ejector(std::string service, std::string holder)
    : ledger_(std::move(service)), holder_(std::move(holder)) {}

// Once another record has been accepted, the pending record either is the head
// or can never be accepted, because its base is no longer the head.
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

// Sends the same bytes again until the log shows whether they were accepted. A
// second copy of an accepted record has no effect.
std::optional<std::string> ejector::RetryPending(millis wall) {
  if (wall < retry_at_) {
    return std::nullopt;
  }
  retry_at_ = wall + kRetryInterval;
  return pending_bytes_;
}

std::optional<std::string> ejector::Propose(millis wall) {
  if (log_away_ || resigned_) {
    return std::nullopt;
  }
  if (pending_) {
    return RetryPending(wall);
  }
  if (ledger_.head() && !ledger_.is_anchored()) {
    if (unanchored_since_ == millis()) {
      unanchored_since_ = wall;
    }
    if (wall - unanchored_since_ < kMaxAnchorWait) {
      return std::nullopt;
    }
  }
  ejection_record desired = DesiredRecord(wall);
  if (!IsDue(desired, wall) ||
      ledger_.Validate(desired, wall) != apply_result::kAccepted) {
    return std::nullopt;
  }
  grow_at_ = wall + kGrowInterval;
  pending_bytes_ = Encode(desired);
  pending_ = std::move(desired);
  retry_at_ = wall + kRetryInterval;
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
                  [&](const auto& lease) { return lease.holder == holder_; });
  if (!holds) {
    return std::nullopt;
  }
  ejection_record last = ledger_.MakeNext(holder_, wall);
  last.capacity_instances = view_.capacity_instances;
  last.floor = view_.floor;
  last.slots = view_.slots;
  return Encode(last);
}

// A grant needs a lease or allowance of this process, and spare capacity above
// the floor as this process knows it. All that other processes have reserved
// counts as ejected.
std::set<std::string> ejector::GrantedInstances(millis wall) const {
  std::set<std::string> granted;
  if (resigned_) {
    return granted;
  }
  const std::set<std::string> others = LeasedToOthers(wall);
  const std::set<std::string_view> capacity_instances(
      view_.capacity_instances.begin(), view_.capacity_instances.end());
  int spare = static_cast<int>(capacity_instances.size()) * view_.slots -
              view_.floor - static_cast<int>(others.size()) * view_.slots -
              AllowanceOfOthers(wall);
  int allowed = OwnAllowance(wall);
  for (const wanted_ejection& wanted : wanted_) {
    const bool has_lease = HoldsLease(wanted, wall);
    if (!has_lease && allowed < view_.slots) {
      continue;
    }
    // An instance that another process has leased, or that is not capacity,
    // costs no spare capacity. But if the others' reservations alone exceed the
    // spare capacity, every holder has to give way: of two processes that hold
    // the same instance, neither can tell which one keeps it ejected.
    if (spare < 0) {
      break;
    }
    const int cost = others.contains(wanted.instance) ||
                             !capacity_instances.contains(wanted.instance)
                         ? 0
                         : view_.slots;
    if (cost > 0 && cost > spare) {
      continue;
    }
    spare -= cost;
    allowed -= has_lease ? 0 : view_.slots;
    granted.insert(wanted.instance);
  }
  return granted;
}

int ejector::HeldBackByFloor() const {
  const int capacity =
      static_cast<int>(view_.capacity_instances.size()) * view_.slots;
  const int ejectable = std::max(0, capacity - view_.floor) / view_.slots;
  return std::max(0, static_cast<int>(wanted_.size()) - ejectable);
}

// The allowance comes first, then as many of the wanted leases as fit above the
// floor. All allowances together leave half of the spare capacity to leases, so
// that the allowances of crashed processes do not use up all of it.
ejection_record ejector::DesiredRecord(millis wall) const {
  ejection_record next = ledger_.MakeNext(holder_, wall);
  next.capacity_instances = view_.capacity_instances;
  next.floor = view_.floor;
  next.slots = view_.slots;
  const millis until = wall + kLeaseSpan;
  const int spare = CapacitySlots(next) - view_.floor;
  const int share = view_.shards > 0 ? spare / 2 / view_.shards : 0;
  const int room = std::min({share, spare / 2 - AllowanceOfOthers(wall),
                             spare - ReservedSlots(next, wall)});
  const int slots = room / view_.slots * view_.slots;
  if (slots > 0) {
    next.allowances.push_back({holder_, slots, until});
  }
  for (const wanted_ejection& wanted : wanted_) {
    next.leases.push_back({wanted.instance, wanted.incarnation, holder_,
                           wanted.since, until, true, wanted.reason});
    if (CapacitySlots(next) - ReservedSlots(next, wall) < next.floor) {
      next.leases.pop_back();
    }
  }
  return next;
}

bool ejector::IsDue(const ejection_record& desired, millis wall) const {
  if (!ledger_.head()) {
    return !desired.leases.empty() || !desired.allowances.empty();
  }
  const ejection_record& head = *ledger_.head();
  const ejection_allowance* held_allowance = FindAllowance(head, holder_);
  const ejection_allowance* next = FindAllowance(desired, holder_);
  const int held_slots = held_allowance != nullptr ? held_allowance->slots : 0;
  const int next_slots = next != nullptr ? next->slots : 0;
  // A larger allowance can wait; a smaller one releases capacity.
  if (next_slots < held_slots ||
      (next_slots > held_slots && wall >= grow_at_)) {
    return true;
  }
  const millis renew_before = wall + kLeaseSpan - kRenewInterval;
  if (held_allowance != nullptr && next_slots > 0 &&
      held_allowance->until < renew_before) {
    return true;
  }
  size_t held_leases = 0;
  for (const ejection_lease& lease : head.leases) {
    if (lease.holder != holder_) {
      continue;
    }
    ++held_leases;
    if (lease.until < renew_before ||
        FindLease(desired, holder_, lease.instance, lease.incarnation) ==
            nullptr) {
      return true;
    }
  }
  const auto next_leases =
      std::count_if(desired.leases.begin(), desired.leases.end(),
                    [&](const auto& lease) { return lease.holder == holder_; });
  return static_cast<size_t>(next_leases) != held_leases;
}

// While it is unknown whether the pending record was accepted, only what both
// it and the head grant may be used.
bool ejector::HoldsLease(const wanted_ejection& wanted, millis wall) const {
  const auto holds = [&](const ejection_record& record) {
    const ejection_lease* lease =
        FindLease(record, holder_, wanted.instance, wanted.incarnation);
    return lease != nullptr && lease->active && InForce(lease->until, wall);
  };
  return ledger_.head() && holds(*ledger_.head()) &&
         (!pending_ || holds(*pending_));
}

int ejector::OwnAllowance(millis wall) const {
  const auto allowed_by = [&](const ejection_record& record) {
    const ejection_allowance* allowance = FindAllowance(record, holder_);
    return allowance != nullptr && InForce(allowance->until, wall)
               ? allowance->slots
               : 0;
  };
  if (!ledger_.head()) {
    return 0;
  }
  const int allowed = allowed_by(*ledger_.head());
  return pending_ ? std::min(allowed, allowed_by(*pending_)) : allowed;
}

std::set<std::string> ejector::LeasedToOthers(millis wall) const {
  std::set<std::string> leased;
  if (!ledger_.head()) {
    return leased;
  }
  for (const ejection_lease& lease : ledger_.head()->leases) {
    const bool is_capacity =
        std::find(view_.capacity_instances.begin(),
                  view_.capacity_instances.end(),
                  lease.instance) != view_.capacity_instances.end();
    if (lease.holder != holder_ && lease.until > wall && is_capacity) {
      leased.insert(lease.instance);
    }
  }
  return leased;
}

int ejector::AllowanceOfOthers(millis wall) const {
  int slots = 0;
  if (ledger_.head()) {
    for (const ejection_allowance& allowance : ledger_.head()->allowances) {
      slots += allowance.holder != holder_ && allowance.until > wall
                   ? allowance.slots
                   : 0;
    }
  }
  return slots;
}

}  // namespace peridotarch
