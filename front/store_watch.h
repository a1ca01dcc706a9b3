#ifndef FRONT_STORE_WATCH_H_
#define FRONT_STORE_WATCH_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "balance/instance_list.h"
#include "balance/record_lag.h"
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
  /// Reads the records of a peer that knows newer ones than this node. Does
  /// nothing while an earlier call is in progress.
  void CatchUp(const peer_ahead& peer);

 private:
  void Spawn(awaitable<void> (store_watch::*run)());
  awaitable<void> FollowConfig();
  awaitable<void> FollowInstances();
  awaitable<void> Announce();
  awaitable<bool> ListNodes(const node_record& self);
  awaitable<void> ReadFromPeerAhead();
  /// Waits before a read at a peer, so that not all nodes read at the same one.
  awaitable<void> WaitForTurn();
  awaitable<void> ReadFromPeer(std::string_view topic, const endpoint& remote);
  [[nodiscard]] millis InstancesReadWait() const;
  [[nodiscard]] endpoint NextMirror();
  awaitable<void> ReadConfig();
  awaitable<void> ReadInstances();
  /// Returns whether a newer configuration came into force.
  bool ApplyConfig(const keyed_page& page, std::string_view source);
  void ApplyInstances(const keyed_page& page);
  [[nodiscard]] bool DelegatesReads() const;
  /// Returns whether this node, which lacks records, waits for a peer's.
  [[nodiscard]] bool WaitsForPeers() const;
  /// Returns how long this node waits to be listed and to list the others.
  [[nodiscard]] millis MaxListTime() const;
  /// Returns how long it waits, once listed, for a peer's records.
  [[nodiscard]] millis MaxPeerWait() const;
  [[nodiscard]] millis DelegationPollInterval() const;
  /// Returns whether the instances have changed.
  bool PublishInstances(std::string_view source);
  [[nodiscard]] millis PauseAfterRead(bool reached) const;
  void NoteStoreCall(bool reached, const std::string& call,
                     const std::string& detail);

  const std::shared_ptr<front_node> node_;
  store_client config_client_;
  store_client instance_client_;
  store_client node_client_;
  std::optional<uint64_t> next_config_offset_;
  std::optional<uint64_t> next_instances_offset_;
  instance_list instances_;
  record_lag config_lag_;
  record_lag instances_lag_;
  bool is_catching_up_ = false;
  peer_ahead peer_ahead_;
  /// Runs while this node waits for a reader of its own zone.
  boost::asio::steady_timer own_zone_wait_;
  bool store_reached_ = true;       ///< The last call to the store succeeded.
  bool config_reached_ = true;      ///< The last read of the topic succeeded.
  bool instances_reached_ = true;   ///< The last read of the topic succeeded.
  bool config_read_waits_ = false;  ///< The next read waits for a change.
  bool instances_read_waits_ = false;
  size_t next_seed_ = 0;
  /// When the other nodes were read from the store.
  std::optional<millis> nodes_listed_at_;
  std::function<void(const host_port&)> on_peer_;
};

}  // namespace peridotarch

#endif  // FRONT_STORE_WATCH_H_
