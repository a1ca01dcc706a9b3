#ifndef PROXY_CONTROL_H_
#define PROXY_CONTROL_H_

#include <memory>
#include <string>

#include "config/replica.h"
#include "detection/membership.h"
#include "platform/awaitable.h"
#include "platform/http_hosts.h"
#include "platform/http_log.h"
#include "proxy/executor.h"
#include "proxy/fleet_view.h"
#include "proxy/gossip_link.h"

namespace peridotarch {

class rpc_server;
struct node;

/// The control loops of a proxy, all on one strand: configuration from log and
/// peers, the platform's host list, gossip, and the owners that follow from
/// them.
class control : public std::enable_shared_from_this<control> {
 public:
  explicit control(std::shared_ptr<node> here);
  ~control();

  /// Starts the loops.
  void Start();

  /// Announces that this node stops, so that peers take over its shards.
  awaitable<void> Leave();

  /// Answers a JSON-RPC request; callable from any thread.
  awaitable<std::string> HandleRpc(std::string request);

  /// What the methods of the JSON-RPC interface read, on the control strand.
  [[nodiscard]] const replica& config() const { return replica_; }
  [[nodiscard]] const membership& fleet() const { return membership_; }
  [[nodiscard]] bool log_away() const { return log_away_; }

 private:
  awaitable<void> TickReplica();
  awaitable<void> TickMembership();
  awaitable<void> PollHosts();
  awaitable<void> ReadLedger();
  awaitable<void> AppendLedger(std::string record);
  awaitable<void> AnswerOpinion(outgoing_gossip answer);
  awaitable<void> ReadConfig(read_log what);
  awaitable<void> FetchConfig(fetch_from_peer what);
  awaitable<void> AppendConfig(append_record what);
  void Do(replica_actions actions);
  void Do(read_log action);
  void Do(fetch_from_peer action);
  void Do(put_in_force action);
  void Do(append_record action);
  void Do(set_isolated action);
  void OnGossip(const gossip_message& message);
  void NoteLog(bool away);
  void NoteChanges();
  void RebuildView();
  void RefreshShards();
  void RefreshOwnership();
  void PassOnWords();
  void SetPort();

  std::shared_ptr<node> node_;
  strand strand_;
  http_log log_;
  http_log ledger_log_;
  http_hosts host_source_;
  replica replica_;
  membership membership_;
  gossip_link gossip_;
  peer_table peers_;
  std::unique_ptr<rpc_server> rpc_;
  bool log_away_ = false;
};

}  // namespace peridotarch

#endif  // PROXY_CONTROL_H_
