#include "balance/instance_list.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridotarch {

namespace {

// After an outage of the store, live instances are listed again within two
// seconds, part of which has passed when this node reads the store.
constexpr millis kRemovalGrace(1'700);
// After a restore, most nodes hear of entries that were written again only
// through the reader of their zone.
constexpr millis kRestoreGrace(3'500);
// Copies of the store are some seconds old.
constexpr millis kRemovedLifetime(60'000);

bool IsSameForBalancing(const instance_entry& left,
                        const instance_entry& right) {
  return left.service == right.service && left.address == right.address &&
         left.port == right.port && left.slots == right.slots &&
         left.draining == right.draining && left.zone == right.zone &&
         left.started_at == right.started_at;
}

// Returns whether the entry was written before the one with this start and
// sequence.
bool IsEarlier(const instance_entry& entry, int64_t started_at,
               int64_t sequence) {
  return entry.started_at < started_at ||
         (entry.started_at == started_at && entry.sequence < sequence);
}

}  // namespace

// An older copy of the store lists instances that have left since.
bool instance_list::WasRemoved(const instance_entry& entry) const {
  const auto removed = removed_.find(entry.id);
  return is_store_restored_ && removed != removed_.end() &&
         IsEarlier(entry, removed->second.started_at,
                   removed->second.sequence + 1);
}

void instance_list::Erase(const std::string& id, millis now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const instance_entry& last = found->second.entry;
  removed_[id] = {last.started_at, last.sequence, now};
  std::erase_if(removed_, [now](const auto& one) {
    return now - one.second.removed_at > kRemovedLifetime;
  });
  entries_.erase(found);
  has_changed_ = true;
}

void instance_list::Put(const instance_entry& entry) {
  const auto found = entries_.find(entry.id);
  if (found == entries_.end()) {
    if (WasRemoved(entry)) {
      return;
    }
    removed_.erase(entry.id);
    entries_[entry.id].entry = entry;
    has_changed_ = true;
    return;
  }
  listed_instance& known = found->second;
  if (IsEarlier(entry, known.entry.started_at, known.entry.sequence)) {
    known.is_older_in_copy = is_store_restored_;
    return;
  }
  // Nodes that have taken the copy's records must hear of this one.
  has_changed_ = has_changed_ || known.is_missing_in_copy ||
                 known.is_older_in_copy ||
                 !IsSameForBalancing(known.entry, entry);
  known.entry = entry;
  known.is_removal_pending = false;
  known.is_missing_in_copy = false;
  known.is_older_in_copy = false;
}

void instance_list::Remove(const std::string& id, millis now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.is_removal_pending) {
    return;
  }
  const bool has_grace = is_store_unreachable_ || is_store_restored_;
  if (!has_grace || found->second.entry.draining) {
    Erase(id, now);
    return;
  }
  found->second.is_removal_pending = true;
  found->second.is_missing_in_copy = is_store_restored_;
  found->second.drop_at =
      now + (is_store_restored_ ? kRestoreGrace : kRemovalGrace);
}

void instance_list::Replace(const std::vector<instance_entry>& entries,
                            millis now) {
  std::set<std::string> present;
  for (const instance_entry& entry : entries) {
    present.insert(entry.id);
    Put(entry);
  }
  std::vector<std::string> absent;
  for (const auto& [id, known] : entries_) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    Remove(id, now);
  }
  is_store_restored_ = false;
}

bool instance_list::ApplyPendingRemovals(millis now) {
  std::vector<std::string> due;
  for (const auto& [id, known] : entries_) {
    if (known.is_removal_pending && now >= known.drop_at) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    Erase(id, now);
  }
  return std::exchange(has_changed_, false);
}

bool instance_list::HasPendingRemovals() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.is_removal_pending && !item.second.is_missing_in_copy;
  });
}

std::vector<instance_entry> instance_list::Entries() const {
  std::vector<instance_entry> entries;
  entries.reserve(entries_.size());
  for (const auto& [id, known] : entries_) {
    entries.push_back(known.entry);
  }
  return entries;
}

}  // namespace peridotarch
