#ifndef FRONT_STORE_WATCH_H_
#define FRONT_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "balance/instance_list.h"
#include "front/followed_topic.h"
#include "front/front_node.h"
#include "front/peer_ahead.h"
#include "platform/awaitable.h"
#include "platform/store_client.h"
#include "platform/store_records.h"

namespace peridotarch {

/// Follows the platform's store: the configuration, the instances, and the
/// other nodes of the fleet.
class store_watch : public std::enable_shared_from_this<store_watch> {
 public:
  explicit store_watch(std::shared_ptr<front_node> node);

  /// Starts to follow the store. Calls `on_peer` for each node found there.
  void Start(std::function<void(const host_port&)> on_peer);
  /// Reads the records of a peer that knows newer ones than this node. If it
  /// has not got them soon, this node reads the store itself.
  void CatchUp(const peer_ahead& peer);

 private:
  void Spawn(std::function<awaitable<void>(store_watch&)> run);
  /// Reads a topic at the store or has other nodes read it.
  awaitable<void> Follow(followed_topic& topic);
  awaitable<void> Announce();
  [[nodiscard]] node_record OwnRecord() const;
  awaitable<bool> ListNodes(const node_record& self);
  awaitable<void> CatchUpTopic(followed_topic& topic);
  /// Waits before a read at a peer, so that not all nodes read at the same one.
  awaitable<void> WaitForTurn(followed_topic& topic);
  awaitable<void> ReadFromPeer(followed_topic& topic, const endpoint& remote);
  awaitable<void> ReadStore(followed_topic& topic);
  [[nodiscard]] millis MaxReadWait(const followed_topic& topic) const;
  /// Handles the end of a read of the store. Returns the pause before the next.
  awaitable<millis> EndRead(followed_topic& topic, bool as_reader,
                            const std::string& failed);
  /// Waits until this node may have to read the store.
  awaitable<void> WaitForDuty(followed_topic& topic);
  /// Ends these waits: a reader was lost.
  void WakeReaders();
  [[nodiscard]] endpoint NextMirror();
  [[nodiscard]] bool IsConfig(const followed_topic& topic) const {
    return &topic == &config_;
  }
  /// Returns the position of this node, or of a peer, in a topic.
  [[nodiscard]] topic_position PositionIn(const followed_topic& topic) const;
  [[nodiscard]] topic_position PositionOf(const peer_ahead& peer,
                                          const followed_topic& topic) const;
  /// Returns whether what callers are served by has changed.
  bool Apply(followed_topic& topic, const keyed_page& page,
             std::string_view source);
  bool ApplyConfig(const keyed_page& page, std::string_view source);
  void ApplyInstances(const keyed_page& page);
  void OnStoreRestored(uint64_t era);
  /// Writes the record of this node again if the store may have lost it.
  awaitable<void> RenewOwnRecord();
  /// Returns false if the node has this version or a newer one.
  bool PutConfigInForce(fleet_config config, std::string_view source);
  bool PublishInstances(std::string_view source);
  void AnnounceChange(const followed_topic& topic);
  /// Tells some nodes that this one has the records up to `position`.
  void NoteCaughtUp(const followed_topic& topic, topic_position position);
  /// Tells all nodes whether this one reads the store for others, if that has
  /// changed.
  void UpdateReaderClaim();
  /// Counts and logs that this node begins to read the store for others.
  void NoteTakeover();
  [[nodiscard]] bool DelegatesReads(const followed_topic& topic) const;
  /// Returns whether this node reads the store for others or after an outage,
  /// and not only because it is late.
  [[nodiscard]] bool IsReader() const;
  /// Returns whether this node, which lacks records, waits for a peer's.
  [[nodiscard]] bool WaitsForPeers() const;
  /// Returns how long this node waits to be listed and to list the others.
  [[nodiscard]] millis MaxListTime() const;
  /// Returns how long it waits, once listed, for a peer's records.
  [[nodiscard]] millis MaxPeerWait() const;
  [[nodiscard]] millis DelegationPollInterval(
      const followed_topic& topic) const;
  [[nodiscard]] millis PauseAfterRead(const followed_topic& topic,
                                      bool reached) const;
  void NoteStoreCall(bool reached, std::string_view call,
                     const std::string& detail);

  const std::shared_ptr<front_node> node_;
  followed_topic config_;
  followed_topic instances_;
  store_client node_client_;
  instance_list list_;
  bool store_reached_ = true;   ///< The last call to the store succeeded.
  bool is_delegating_ = false;  ///< This node leaves the reads to others.
  size_t next_seed_ = 0;
  /// When the other nodes were read from the store.
  std::optional<millis> nodes_listed_at_;
  std::string config_text_;  ///< The record of the version in force.
  /// A newer version can't be read, so none is known to be the newest.
  bool is_newest_refused_ = false;
  std::optional<millis> announced_at_;  ///< When the own record was written.
  std::function<void(const host_port&)> on_peer_;
};

}  // namespace peridotarch

#endif  // FRONT_STORE_WATCH_H_
