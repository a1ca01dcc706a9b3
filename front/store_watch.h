#ifndef FRONT_STORE_WATCH_H_
#define FRONT_STORE_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "balance/instance_list.h"
#include "front/front_node.h"
#include "platform/awaitable.h"
#include "platform/store_client.h"
#include "platform/store_records.h"

namespace peridotarch {

/// Follows the platform's store: the configuration, the instances, and the
/// other nodes of the fleet.
class store_watch : public std::enable_shared_from_this<store_watch> {
 public:
  explicit store_watch(std::shared_ptr<front_node> here);

  /// Starts to follow; `on_peer` is called for each node that is found.
  void Start(std::function<void(const host_port&)> on_peer);
  /// Reads at a peer that knows more of the store than this node.
  void CatchUp(const std::string& peer);

 private:
  void Spawn(awaitable<void> (store_watch::*run)());
  awaitable<void> FollowConfig();
  awaitable<void> FollowInstances();
  awaitable<void> Announce();
  awaitable<void> CatchUpOnce();
  awaitable<void> ReadFromPeer(std::string_view topic, const endpoint& where);
  [[nodiscard]] millis InstanceWait() const;
  [[nodiscard]] endpoint MirrorAddress();
  awaitable<void> ReadConfig();
  awaitable<void> ReadInstances();
  void TakeConfig(const keyed_page& page);
  void TakeInstances(const keyed_page& page);
  [[nodiscard]] bool Delegates() const;
  void PublishInstances();
  [[nodiscard]] millis PauseAfter(bool reached) const;
  void NoteStore(bool reached, const std::string& call,
                 const std::string& detail);

  const std::shared_ptr<front_node> here_;
  store_client config_client_;
  store_client instance_client_;
  store_client other_client_;
  std::optional<uint64_t> config_next_;
  std::optional<uint64_t> instances_next_;
  instance_list instances_;
  bool fetching_ = false;
  std::string ahead_;  ///< A peer that knows more.
  bool reached_ = true;
  bool config_reached_ = true;     ///< Of the last read.
  bool instances_reached_ = true;  ///< Of the last read.
  bool config_waits_ = false;      ///< The next read waits for a change.
  bool instances_wait_ = false;
  size_t next_seed_ = 0;
  std::function<void(const host_port&)> on_peer_;
};

}  // namespace peridotarch

#endif  // FRONT_STORE_WATCH_H_
