#ifndef FRONT_FRONT_NODE_H_
#define FRONT_FRONT_NODE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "balance/fleet_retry_budget.h"
#include "balance/instance_selector.h"
#include "balance/node_settings.h"
#include "balance/route_index.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "core/rcu_cell.h"
#include "front/connection_pool.h"
#include "front/decision_log.h"
#include "platform/store_mirror.h"
#include "request/reason.h"

namespace peridotarch {

class caller_session;

/// A change of this node's load that its peers should know.
enum class load_change {
  kSlotTaken,  ///< An attempt began.
  kSlotFreed,  ///< An attempt ended well.
  kUrgent,     ///< An attempt says that its instance may be sick.
};

/// What the parts of one node share. All of them run on one thread.
struct front_node {
  front_node(boost::asio::io_context& io, node_settings given, uint64_t seed);

  boost::asio::io_context& context;
  node_settings settings;
  const uint64_t incarnation;    ///< Wall clock of the start in microseconds.
  rcu_cell<route_index> routes;  ///< Null until the first version.
  instance_selector selector;
  connection_pool pool;
  random_bits random;
  decision_log log;
  metrics counters;
  fleet_retry_budget retries;
  std::set<caller_session*> sessions;  ///< Open caller connections.
  std::function<void(load_change)> on_load_change = [](load_change) {};
  /// Returns the address of a peer that reads the store, if one is known.
  std::function<std::optional<std::string>()> find_store_reader = [] {
    return std::optional<std::string>();
  };
  /// Returns whether this node reads the store itself.
  std::function<bool()> must_read_store = [] { return true; };
  uint64_t instances_offset = 0;  ///< Of the entries that it knows.
  store_mirror mirror;            ///< What this node has read of the store.
  bool reads_store = false;       ///< The last read of the store succeeded.
  int nodes = 1;                  ///< Of the fleet that have been heard lately.
  int in_flight = 0;              ///< Callers' requests.
  bool instances_known = false;
  bool draining = false;
  millis stops_at;  ///< While it drains: the process ends.

  /// Returns whether the node can serve new callers.
  [[nodiscard]] bool Ready() const;
  /// Checks a promise; a breach is counted and logged with the request.
  /// `request` is empty where none is concerned.
  void Verify(bool holds, invariant which, const std::string& request);
  /// Counts an answer of this node and says why it was given.
  void CountAnswer(reason why, millis taken);
  /// Logs the changes of belief that the board has gathered.
  void LogHealthChanges();
};

}  // namespace peridotarch

#endif  // FRONT_FRONT_NODE_H_
