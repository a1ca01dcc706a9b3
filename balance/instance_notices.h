#ifndef BALANCE_INSTANCE_NOTICES_H_
#define BALANCE_INSTANCE_NOTICES_H_

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance/instance.h"
#include "balance/load_report.h"
#include "balance/notice_change.h"
#include "core/millis.h"

namespace peridotarch {

/// What instances have said about themselves in their answers: that they are
/// leaving, or that they want no request for some time (rest). A notice holds
/// for one start of the instance, whatever the store lists. Not thread-safe.
class instance_notices {
 public:
  static constexpr int kNoLimit = std::numeric_limits<int>::max();

  /// Records that this start of the instance is leaving; `told_by` is the peer
  /// that reported it, or empty. Returns whether that is new.
  bool NoteLeaving(const instance_entry& instance, const std::string& told_by,
                   millis now);
  /// Records that this start of the instance wants no request until `until`.
  void NoteRest(const instance_entry& instance, millis until, millis now);
  /// Records that the store lists this start of the instance. A later start
  /// than the one of its notices ends them.
  void NoteListed(const instance_entry& instance, millis now);
  /// Records the end of an attempt, which sets the pace after a rest.
  void NoteOutcome(instance_key key, attempt_outcome outcome, int slots,
                   millis now);
  /// Drops the notices that no longer matter.
  void Prune(millis now);
  /// Returns and clears the changes since the last call.
  std::vector<notice_change> TakeChanges();

  [[nodiscard]] bool IsLeaving(instance_key key) const;
  /// Returns how long the instance still rests, 0 if it does not.
  [[nodiscard]] millis RestLeft(instance_key key, millis now) const;
  /// Returns whether the instance neither leaves nor rests.
  [[nodiscard]] bool MaySend(instance_key key, millis now) const {
    return !IsLeaving(key) && RestLeft(key, now) == millis(0);
  }
  /// Returns how many requests this node may have in flight at the instance.
  [[nodiscard]] int MaxInFlight(instance_key key, millis now) const;

 private:
  struct notice {
    instance_entry instance;  ///< The start that it holds for.
    std::string told_by;      ///< Of its leaving.
    bool leaving = false;
    bool resting = false;  ///< Until `rest_until`; its end was not seen yet.
    millis rest_until;
    int max_in_flight = kNoLimit;  ///< Once the rest is over.
    millis seen_at;                ///< Last listed, or last notice.
  };

  /// Returns the notice of this start, nullptr if a later one is known.
  notice* FindOrAdd(const instance_entry& instance, millis now);
  void AddEnd(const notice& known, notice_end end);

  std::unordered_map<instance_key, notice> notices_;
  std::vector<notice_change> changes_;
};

}  // namespace peridotarch

#endif  // BALANCE_INSTANCE_NOTICES_H_
