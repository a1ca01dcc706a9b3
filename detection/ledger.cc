#include "detection/ledger.h"

#include <algorithm>
#include <set>

#include "core/error.h"

namespace peridotarch {

namespace {

bool HasLease(const ejection_record& record, const ejection_lease& wanted) {
  return std::any_of(
      record.leases.begin(), record.leases.end(), [&](const auto& lease) {
        return lease.instance == wanted.instance &&
               lease.incarnation == wanted.incarnation &&
               lease.holder == wanted.holder && lease.until == wanted.until &&
               (wanted.active || !lease.active);
      });
}

bool HasAllowance(const ejection_record& record,
                  const ejection_allowance& wanted) {
  return std::find(record.allowances.begin(), record.allowances.end(),
                   wanted) != record.allowances.end();
}

// A lease or allowance of another process stays reserved until it ends, because
// that process may be using it without having read this record.
bool KeepsRightsOfOthers(const ejection_record& head,
                         const ejection_record& next, millis wall) {
  const auto kept = [&](const auto& held, auto has) {
    return held.holder == next.proposer || held.until <= wall ||
           has(next, held);
  };
  return std::all_of(
             head.leases.begin(), head.leases.end(),
             [&](const auto& lease) { return kept(lease, HasLease); }) &&
         std::all_of(head.allowances.begin(), head.allowances.end(),
                     [&](const auto& allowance) {
                       return kept(allowance, HasAllowance);
                     });
}

// A process can grant leases and allowances only to itself.
bool GrantsOnlyToProposer(const ejection_record& head,
                          const ejection_record& next) {
  const auto granted = [&](const auto& right, auto has) {
    return right.holder == next.proposer || has(head, right);
  };
  return std::all_of(next.leases.begin(), next.leases.end(),
                     [&](const ejection_lease& lease) {
                       // An active lease may have been revoked.
                       ejection_lease before = lease;
                       before.active = true;
                       return granted(lease, HasLease) ||
                              (!lease.active && granted(before, HasLease));
                     }) &&
         std::all_of(next.allowances.begin(), next.allowances.end(),
                     [&](const auto& allowance) {
                       return granted(allowance, HasAllowance);
                     });
}

bool EndsInTime(const ejection_record& next, millis appended_at) {
  const millis latest = appended_at + kLeaseSpan + kClockMargin;
  const auto in_time = [&](const auto& right) { return right.until <= latest; };
  return std::all_of(next.leases.begin(), next.leases.end(), in_time) &&
         std::all_of(next.allowances.begin(), next.allowances.end(), in_time);
}

// Reinstating is always allowed. Departures may have taken the service below
// its floor, and then no record that still reserves anything could keep the
// floor.
bool OnlyReleases(const ejection_record& head, const ejection_record& next) {
  const bool leases = std::all_of(
      next.leases.begin(), next.leases.end(), [&](const auto& lease) {
        return std::any_of(head.leases.begin(), head.leases.end(),
                           [&](const auto& held) {
                             return held.instance == lease.instance &&
                                    held.incarnation == lease.incarnation;
                           });
      });
  const bool allowances = std::all_of(
      next.allowances.begin(), next.allowances.end(),
      [&](const auto& allowance) {
        return std::any_of(head.allowances.begin(), head.allowances.end(),
                           [&](const auto& held) {
                             return held.holder == allowance.holder &&
                                    held.slots >= allowance.slots;
                           });
      });
  return leases && allowances;
}

}  // namespace

apply_result ledger::Apply(std::string_view bytes, millis appended_at) {
  ejection_record next;
  try {
    next = DecodeEjection(bytes);
  } catch (const codec_error&) {
    return apply_result::kMalformed;
  }
  const apply_result result = Validate(next, appended_at);
  if (result != apply_result::kAccepted) {
    return result;
  }
  is_anchored_ = is_anchored_ || next.sequence == 1 ||
                 (head_ && next.base == head_digest_);
  head_ = std::move(next);
  head_bytes_ = bytes;
  head_digest_ = Sha256(bytes);
  return result;
}

apply_result ledger::Validate(const ejection_record& next,
                              millis appended_at) const {
  if (next.service != service_) {
    return apply_result::kOtherService;
  }
  if (!Follows(next)) {
    return apply_result::kNotNext;
  }
  if (!EndsInTime(next, appended_at)) {
    return apply_result::kTooLong;
  }
  const bool linked = head_ && next.base == head_digest_;
  if (linked && !(KeepsRightsOfOthers(*head_, next, appended_at) &&
                  GrantsOnlyToProposer(*head_, next))) {
    return apply_result::kDropsLease;
  }
  const bool keeps_floor =
      CapacitySlots(next) - ReservedSlots(next, appended_at) >= next.floor;
  const bool only_releases = linked && OnlyReleases(*head_, next);
  const bool empty = next.leases.empty() && next.allowances.empty();
  if (!keeps_floor && !only_releases && !empty) {
    return apply_result::kBreaksFloor;
  }
  return apply_result::kAccepted;
}

ejection_record ledger::MakeNext(const std::string& proposer,
                                 millis wall) const {
  ejection_record next;
  next.service = service_;
  next.proposer = proposer;
  if (!head_) {
    return next;
  }
  next.base = head_digest_;
  next.sequence = head_->sequence + 1;
  const auto kept = [&](const auto& right) {
    return right.holder != proposer && right.until > wall;
  };
  std::copy_if(head_->leases.begin(), head_->leases.end(),
               std::back_inserter(next.leases), kept);
  std::copy_if(head_->allowances.begin(), head_->allowances.end(),
               std::back_inserter(next.allowances), kept);
  return next;
}

// Records expire, so a reader may start in the middle of the chain. A rejected
// record never has a higher sequence than the head that it lost to. Until two
// linked records have been seen, the first record of each higher sequence is
// therefore taken for the next one of the chain.
bool ledger::Follows(const ejection_record& next) const {
  if (!head_) {
    return next.sequence == 1 ? next.base == digest{} : true;
  }
  if (next.base == head_digest_) {
    return next.sequence == head_->sequence + 1;
  }
  return !is_anchored_ && next.sequence > head_->sequence;
}

int ReservedSlots(const ejection_record& record, millis wall) {
  const std::set<std::string_view> capacity_instances(
      record.capacity_instances.begin(), record.capacity_instances.end());
  std::set<std::string_view> leased;
  for (const ejection_lease& lease : record.leases) {
    if (lease.until > wall && capacity_instances.contains(lease.instance)) {
      leased.insert(lease.instance);
    }
  }
  int slots = static_cast<int>(leased.size()) * record.slots;
  for (const ejection_allowance& allowance : record.allowances) {
    slots += allowance.until > wall ? allowance.slots : 0;
  }
  return slots;
}

int CapacitySlots(const ejection_record& record) {
  const std::set<std::string_view> capacity_instances(
      record.capacity_instances.begin(), record.capacity_instances.end());
  return static_cast<int>(capacity_instances.size()) * record.slots;
}

}  // namespace peridotarch
