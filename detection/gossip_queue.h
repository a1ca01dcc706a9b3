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

/// Updates that this node still piggybacks on its gossip messages. Each update
/// is sent a bounded number of times; those sent least often go first.
class gossip_queue {
 public:
  /// Queues a node's new record in place of its previous one.
  void AddMember(const member_record& record);

  /// Queues the revision that is now in force on a node.
  void AddRevision(const revision_note& note);

  /// Queues that an instance is leaving; returns false if that is known.
  bool AddLeaving(const leaving_note& note, millis now);

  /// Adds updates to the message up to the byte budget of a probe; `limit` is
  /// how often each update is sent.
  void Fill(gossip_message& message, int limit);

  /// Forgets leaving instances that were queued long ago.
  void Forget(millis now);

 private:
  template <typename Value>
  struct item {
    Value value;
    int times_sent = 0;
  };

  std::map<std::string, item<member_record>> members_;
  std::map<uint32_t, item<revision_note>> revisions_;
  std::map<leaving_note, item<millis>> leaving_;
};

}  // namespace peridotarch

#endif  // DETECTION_GOSSIP_QUEUE_H_
