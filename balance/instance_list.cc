#include "balance/instance_list.h"

#include <algorithm>
#include <set>

namespace peridotarch {

namespace {

// After an outage of the store, live instances are listed again within two
// seconds, part of which has passed when this node reads the store.
constexpr millis kRemovalGrace(1'700);

bool IsSameForBalancing(const instance_entry& left,
                        const instance_entry& right) {
  return left.service == right.service && left.address == right.address &&
         left.port == right.port && left.slots == right.slots &&
         left.draining == right.draining && left.zone == right.zone &&
         left.started_at == right.started_at;
}

}  // namespace

void instance_list::Put(const instance_entry& entry) {
  const auto found = entries_.find(entry.id);
  if (found == entries_.end()) {
    entries_[entry.id].entry = entry;
    has_changed_ = true;
    return;
  }
  listed_instance& known = found->second;
  if (entry.started_at < known.entry.started_at ||
      (entry.started_at == known.entry.started_at &&
       entry.sequence < known.entry.sequence)) {
    return;
  }
  has_changed_ = has_changed_ || !IsSameForBalancing(known.entry, entry);
  known.entry = entry;
  known.is_removal_pending = false;
}

void instance_list::Remove(const std::string& id, millis now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.is_removal_pending) {
    return;
  }
  if (!is_store_unreachable_ || found->second.entry.draining) {
    entries_.erase(found);
    has_changed_ = true;
    return;
  }
  found->second.is_removal_pending = true;
  found->second.drop_at = now + kRemovalGrace;
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
}

bool instance_list::ApplyPendingRemovals(millis now) {
  const size_t dropped = std::erase_if(entries_, [now](const auto& item) {
    return item.second.is_removal_pending && now >= item.second.drop_at;
  });
  const bool has_changed = has_changed_ || dropped > 0;
  has_changed_ = false;
  return has_changed;
}

bool instance_list::HasPendingRemovals() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return item.second.is_removal_pending;
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
