#ifndef PROXY_NODE_H_
#define PROXY_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "config/snapshot.h"
#include "core/metrics.h"
#include "core/rcu_cell.h"
#include "core/timeline.h"
#include "memory/answer_sizes.h"
#include "memory/memory_budget.h"
#include "platform/host.h"
#include "proxy/connection_limit.h"
#include "proxy/control_port.h"
#include "proxy/fleet_view.h"
#include "proxy/ledger_feed.h"
#include "proxy/meters.h"
#include "proxy/owner_table.h"
#include "proxy/settings.h"
#include "proxy/team_table.h"

namespace peridotarch {

/// What the parts of one proxy share. Cells are read on every request.
struct node {
  node(boost::asio::io_context& on, proxy_settings with);

  boost::asio::io_context& context;
  const proxy_settings settings;
  const uint64_t incarnation;  ///< Wall clock at the start, in milliseconds.
  metrics registry;
  meters measures;
  timeline events;
  rcu_cell<config_snapshot> config;  ///< Null before the first revision.
  rcu_cell<fleet_view> fleet;
  rcu_cell<team_table> teams;
  rcu_cell<host_list> hosts;
  owner_table owners;
  ledger_feed ledger;
  control_port port;
  const std::shared_ptr<memory_budget> memory;
  answer_sizes sizes;        ///< By route.
  connection_limit callers;  ///< Connections to the port for callers.
  connection_limit peers;    ///< Connections to the inner port.
  std::atomic<bool> draining = false;
  std::atomic<bool> isolated = false;
  std::atomic<bool> doubts = false;  ///< Membership says so.
  std::atomic<int> in_flight = 0;    ///< Requests of callers and peers.
  std::atomic<uint64_t> next_request = 0;
};

/// Returns an id that no other request of the fleet has.
std::string NextRequestId(node& in);

}  // namespace peridotarch

#endif  // PROXY_NODE_H_
