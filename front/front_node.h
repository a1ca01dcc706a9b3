#ifndef FRONT_FRONT_NODE_H_
#define FRONT_FRONT_NODE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "balance/instance_board.h"
#include "balance/node_settings.h"
#include "balance/retry_pool.h"
#include "balance/route_index.h"
#include "core/metrics.h"
#include "core/rcu_cell.h"
#include "front/decision_log.h"
#include "front/instance_pool.h"
#include "request/reason.h"

namespace peridotarch {

class caller_session;

/// What the parts of one node share. All of them run on one thread.
struct front_node {
  front_node(boost::asio::io_context& io, node_settings given, uint64_t seed);

  boost::asio::io_context& context;
  node_settings settings;
  const uint64_t incarnation;    ///< Wall clock of the start in microseconds.
  rcu_cell<route_index> routes;  ///< Null until the first version.
  instance_board board;
  instance_pool pool;
  random_bits random;
  decision_log log;
  metrics counters;
  retry_pool retries;
  std::set<caller_session*> sessions;  ///< Open caller connections.
  /// Tells the peers of a change of load; `at_once` for starts and failures.
  std::function<void(bool at_once)> load_changed = [](bool) {};
  int nodes = 1;      ///< Of the fleet that have been heard lately.
  int in_flight = 0;  ///< Callers' requests.
  bool instances_known = false;
  bool draining = false;

  /// Returns whether the node can serve new callers.
  [[nodiscard]] bool Ready() const;
  /// Counts an answer of this node and says why it was given.
  void CountAnswer(reason why, millis taken);
  /// Logs the changes of belief that the board has gathered.
  void LogHealthChanges();
};

}  // namespace peridotarch

#endif  // FRONT_FRONT_NODE_H_
