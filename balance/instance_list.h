#ifndef BALANCE_INSTANCE_LIST_H_
#define BALANCE_INSTANCE_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "balance/instance.h"
#include "core/millis.h"

namespace peridotarch {

/// The instances as service discovery lists them. Entries that are missing at
/// the first sight of the store after an outage are kept for a moment: a live
/// instance renews its entry soon after the store is back. Not thread-safe.
class instance_list {
 public:
  /// Takes an entry. An older word of the same start is ignored.
  void Put(const instance_entry& entry);
  /// The entry was removed.
  void Remove(const std::string& id, millis now);
  /// Replaces everything by the store's newest entries.
  void Replace(const std::vector<instance_entry>& entries, millis now);
  /// The store could not be read.
  void NoteStoreUnreachable() { away_ = true; }
  /// The store has been read, and all it said was put or removed.
  void NoteStoreRead() { away_ = false; }
  /// Drops what has lapsed for good; returns whether the list has changed
  /// since the last call.
  bool ApplyPendingRemovals(millis now);

  [[nodiscard]] std::vector<instance_entry> Entries() const;
  [[nodiscard]] size_t size() const { return entries_.size(); }
  /// Returns whether entries wait to be dropped.
  [[nodiscard]] bool HasPendingRemovals() const;

 private:
  struct listed {
    instance_entry entry;
    bool lapsed = false;
    millis drop_at;
  };

  std::map<std::string, listed> entries_;
  bool away_ = false;
  bool changed_ = false;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_LIST_H_
