#ifndef DETECTION_GOSSIP_QUEUE_H_
#define DETECTION_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/millis.h"
#include "inner/gossip.h"

namespace peridotarch {

/// The news that this node still passes on, each a bounded number of times, the
/// least passed on first.
class gossip_queue {
 public:
  /// Passes on a node's new record, replacing older news of it.
  void AddMember(const member_record& record);

  /// Passes on a node's new revision.
  void AddRevision(const revision_note& note);

  /// Passes on that an instance leaves; returns false when it is known.
  bool AddLeaving(const leaving_note& note, millis now);

  /// Fills the message up to the byte budget of a probe; `limit` is how often
  /// each item is passed on.
  void Fill(gossip_message& message, int limit);

  /// Forgets leaving instances that were noted long ago.
  void Forget(millis now);

 private:
  template <typename Value>
  struct item {
    Value value;
    int sent = 0;
  };

  std::map<std::string, item<member_record>> members_;
  std::map<uint32_t, item<revision_note>> revisions_;
  std::map<leaving_note, item<millis>> leaving_;
};

}  // namespace peridotarch

#endif  // DETECTION_GOSSIP_QUEUE_H_
