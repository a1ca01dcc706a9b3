#ifndef BALANCE_INSTANCE_LIST_H_
#define BALANCE_INSTANCE_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

/// The instances that service discovery lists. An entry that is missing at the
/// first read of the store after an outage is kept for a short grace period,
/// since a live instance renews its entry soon after the store is back. Not
/// thread-safe.
class instance_list {
 public:
  /// Adds or updates an entry. An older update of the same start, or an
  /// earlier start, is ignored.
  void Put(const instance_entry& entry);
  /// Handles the removal of an entry from the store.
  void Remove(const std::string& id, millis now);
  /// Replaces the whole list by the store's latest entries.
  void Replace(const std::vector<instance_entry>& entries, millis now);
  /// Notes that the store could not be read.
  void NoteStoreUnreachable() { is_store_unreachable_ = true; }
  /// Notes that the store was read and all its changes were passed to Put or
  /// Remove.
  void NoteStoreRead() { is_store_unreachable_ = false; }
  /// Drops entries whose grace period has ended. Returns whether the list has
  /// changed since the last call.
  bool ApplyPendingRemovals(millis now);

  [[nodiscard]] std::vector<instance_entry> Entries() const;
  [[nodiscard]] size_t size() const { return entries_.size(); }
  /// Returns whether any entry is in its grace period.
  [[nodiscard]] bool HasPendingRemovals() const;

 private:
  struct listed_instance {
    instance_entry entry;
    bool is_removal_pending = false;
    millis drop_at;
  };

  std::map<std::string, listed_instance> entries_;
  bool is_store_unreachable_ = false;
  bool has_changed_ = false;  ///< Since the last ApplyPendingRemovals.
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_LIST_H_
