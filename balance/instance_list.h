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
  /// Notes that the entries of the next Replace come from a store that was
  /// restored from an older copy. Entries that it lacks have a grace period.
  void NoteStoreRestored() { is_store_restored_ = true; }
  /// Drops entries whose grace period has ended. Returns whether the list has
  /// changed since the last call.
  bool ApplyPendingRemovals(millis now);

  [[nodiscard]] std::vector<instance_entry> Entries() const;
  [[nodiscard]] size_t size() const { return entries_.size(); }
  /// Returns whether any entry is in its grace period after an outage.
  [[nodiscard]] bool HasPendingRemovals() const;

 private:
  struct listed_instance {
    instance_entry entry;
    bool is_removal_pending = false;
    bool is_missing_in_copy = false;  ///< Pending after a restore.
    /// The restored copy has an older entry, which nodes that start take.
    bool is_older_in_copy = false;
    millis drop_at;
  };
  /// The last entry of an instance that was removed.
  struct removed_instance {
    int64_t started_at = 0;
    int64_t sequence = 0;
    millis removed_at;
  };

  /// Returns whether the instance of an entry in a restored copy was removed.
  [[nodiscard]] bool WasRemoved(const instance_entry& entry) const;
  void Erase(const std::string& id, millis now);

  std::map<std::string, listed_instance> entries_;
  std::map<std::string, removed_instance> removed_;
  bool is_store_unreachable_ = false;
  bool is_store_restored_ = false;
  bool has_changed_ = false;  ///< Since the last ApplyPendingRemovals.
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_LIST_H_
