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
#include "balance/request_deadlines.h"
#include "balance/route_index.h"
#include "core/invariant.h"
#include "core/metrics.h"
#include "core/rcu_cell.h"
#include "core/store_count.h"
#include "front/connection_pool.h"
#include "front/decision_log.h"
#include "front/peer_link.h"
#include "memory/answer_sizes.h"
#include "memory/memory_budget.h"
#include "platform/store_mirror.h"
#include "request/reason.h"
#include "teams/config_freshness.h"
#include "teams/fleet_limit.h"

namespace peridotarch {

class caller_session;

/// Why this node closed a connection that was within its time limits.
enum class close_cause {
  kCallerIdle,  ///< Too many are open, and it was idle for the longest time.
  kCallerBusy,  ///< Too many are open, and none is idle.
  kAdminIdle,   ///< The same for the ready, metrics and control ports.
  kAdminBusy,
};

template <>
struct names_of<close_cause> {
  static constexpr std::array<std::string_view, 4> kTable = {
      "caller_idle", "caller_busy", "admin_idle", "admin_busy"};
};

/// State that the parts of one node share. All of them run on one thread.
struct front_node {
  front_node(boost::asio::io_context& io, node_settings initial_settings,
             uint64_t seed);

  boost::asio::io_context& context;
  node_settings settings;
  /// Start time by the wall clock, in units of 16 ms; it wraps.
  const uint32_t incarnation;
  const millis started_at;
  rcu_cell<route_index> routes;  ///< Null until a configuration was read.
  instance_selector selector;
  const std::shared_ptr<memory_budget> memory;
  answer_sizes sizes;  ///< Of recent answers, by route.
  connection_pool pool;
  random_bits random;
  decision_log log;
  metrics counters;
  fleet_retry_budget retries;
  std::set<caller_session*> sessions;  ///< Open caller connections.
  size_t max_connections;              ///< Of callers; follows from the memory.
  peer_link peers;
  /// Whether requests with keys may run by this configuration.
  config_freshness freshness;
  fleet_limit limits;  ///< Of the teams' requests.
  /// Called with the instance that the change concerns, 0 if none.
  std::function<void(load_change, instance_key)> on_load_change =
      [](load_change, instance_key) {};
  /// Returns the address of a peer that reads the store, if one is known.
  std::function<std::optional<std::string>()> find_store_reader = [] {
    return std::optional<std::string>();
  };
  /// Returns whether this node reads the store itself.
  std::function<bool()> must_read_store = [] { return true; };
  /// Called when this node may have to read the store from now on.
  std::function<void()> on_takeover_due = [] {};
  /// Like must_read_store, for a node that has no records yet.
  std::function<bool()> must_read_store_first = [] { return true; };
  /// Offset in the instances topic up to which this node knows the entries.
  record_offset instances_offset;
  /// Offset of the last change to the instances that this node knows. Entries
  /// are renewed all the time without a change.
  record_offset instances_changed_at;
  /// Records that this node has read from the store or from a peer.
  store_mirror mirror;
  int record_reads_served = 0;  ///< Reads of the mirror in progress.
  /// This node reads the store for others: its last read of each topic has
  /// succeeded, and none is overdue.
  bool reads_store = false;
  /// Nodes of the fleet with a recent report, including this one.
  int live_nodes = 1;
  int live_nodes_in_zone = 1;  ///< Those of the own zone.
  int in_flight = 0;           ///< Requests of callers.
  uint64_t store_era = 0;      ///< Above 0 once the store was restored.
  /// The newest configuration of which a peer has reported.
  std::optional<config_version> reported_version;
  bool instances_known = false;
  bool nodes_listed = false;  ///< The nodes of the fleet were read.
  bool draining = false;
  shutdown_times shutdown;  ///< Set while draining.

  /// Returns the version of the configuration in force, 0 if there is none.
  [[nodiscard]] config_version ConfigVersion() const;
  /// Returns whether a peer has a newer configuration than a store that was
  /// restored may have given to this node.
  [[nodiscard]] bool IsBehindPeers() const;
  /// Returns whether the node, since it started, has had a configuration that
  /// was as new as those of its peers.
  [[nodiscard]] bool IsConfigConfirmed() const;
  /// Returns whether the node knows a configuration and the instances.
  [[nodiscard]] bool HasRecords() const;
  /// Returns whether requests with keys of teams, if there are any, can be
  /// served.
  [[nodiscard]] bool CanServeTeams() const;
  /// Returns whether the node can serve new callers.
  [[nodiscard]] bool Ready() const;
  /// Checks an invariant; a breach is counted and logged with the id of the
  /// request. `request` is empty if the invariant concerns no request.
  void Verify(bool holds, invariant which, const std::string& request);
  /// Returns a random time from 0.5 to 1.5 times `span`.
  [[nodiscard]] millis Jitter(millis span);
  /// Returns when a caller whose request for the service has not run may
  /// return, within a third of its `time_left` if the instances allow that.
  /// `usual` is the mean if instances take requests; if 0, the result is 0.
  [[nodiscard]] millis RetryAfter(const std::string& service, millis usual,
                                  millis time_left);
  /// Returns when a caller may return whose team's limit has room after
  /// `delay`: not before that, and not all callers together.
  [[nodiscard]] millis DelayAfterLimit(millis delay);
  /// Counts an answer to a caller by its reason, and records the time taken.
  void CountAnswer(reason why, millis taken);
  /// Logs the state of the budget that denied a retry of the request.
  void LogRetryDenied(const std::string& request, const std::string& service,
                      int priority);
  /// Closes the connections of callers that have been idle for too long.
  void CloseIdleCallers(millis now);
  /// Returns whether the connections of callers leave room for one more. Closes
  /// the one that has been idle for the longest time if that is needed.
  bool MakeRoomForCaller();
  /// Counts and logs a connection that was closed for the limit on them.
  void OnConnectionClosed(close_cause cause);
  /// Sets the gauges of the memory in use.
  void UpdateMemoryGauges();
  /// Handles what an answer says about its instance.
  void OnNotice(const instance_entry& instance, const answer_notice& notice);
  /// Logs that memory was short for an answer of the instance.
  void OnBodyDropped(const instance_entry& instance);
  /// Returns whether a request of the route may be sent: its answer is usually
  /// short, or there is memory for it.
  [[nodiscard]] bool HasRoomForAnswerOf(const std::string& route) const;
  /// Counts and logs a request that was not sent for want of memory for its
  /// answer.
  void OnAnswerRefused(const std::string& route);
  /// Counts and logs that memory was short for a request that was being read.
  void OnRequestEnded();
  /// Logs the changes of instances that the selector has collected. Closes the
  /// idle connections to those that are leaving, and tells the peers of them.
  void LogHealthChanges();
  void HandleNoticeChange(const notice_change& change);
  /// The same, and tells the peers of the change at the instance.
  void PublishChange(load_change change, instance_key key);

 private:
  mutable bool is_config_confirmed_ = false;
};

}  // namespace peridotarch

#endif  // FRONT_FRONT_NODE_H_
