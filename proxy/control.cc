#include "proxy/control.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/record.h"
#include "core/error.h"
#include "core/hash.h"
#include "inner/rpc/rpc_client.h"
#include "inner/rpc/rpc_server.h"
#include "platform/base64.h"
#include "proxy/admin.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"
#include "proxy/peer.h"
#include "proxy/spawn.h"
#include "request/shard_map.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

const std::string kStream(kConfigStream);
constexpr int kPageRecords = 256;
constexpr millis kReplicaTick(100);
constexpr millis kHostsInterval(500);
constexpr millis kFetchTimeout(1000);
constexpr millis kLedgerWait(500);
constexpr millis kRetryPause(200);
constexpr millis kProbeTimeout(500);
constexpr int kHttp11 = 11;
const std::string kLedgerStream = "ejections";

member_record SelfRecord(const node& here) {
  member_record self;
  self.id = here.settings.node;
  self.incarnation = here.incarnation;
  self.address = here.settings.address;
  self.port = here.settings.inner_port;
  self.zone = here.settings.zone;
  return self;
}

replica_settings ReplicaSettings(const node& here) {
  replica_settings with;
  with.fleet_key = here.settings.fleet_key;
  with.seed = Hash64(here.settings.node, here.incarnation);
  return with;
}

// Gossip carries the first bytes of a revision's chain digest.
uint64_t HeadOf(const digest& chain) {
  uint64_t head = 0;
  for (size_t i = 0; i < sizeof(head); ++i) {
    head = head << 8 | chain[i];
  }
  return head;
}

revision_id IdOf(const member_record& record) {
  revision_id id;
  id.number = record.revision;
  for (size_t i = 0; i < sizeof(record.digest); ++i) {
    id.chain[i] = static_cast<uint8_t>(record.digest >> (8 * (7 - i)));
  }
  return id;
}

// When every node doubts itself, the doubt says nothing about any of them.
void MakeSomeEligible(std::vector<node_view>& nodes) {
  const bool some =
      std::any_of(nodes.begin(), nodes.end(),
                  [](const node_view& node) { return node.eligible; });
  if (some) {
    return;
  }
  for (node_view& node : nodes) {
    node.eligible = true;
  }
}

// Runs a member coroutine of `self` on its strand, without waiting for it.
template <typename Self, typename Make>
void Spawn(const strand& on, const std::string& task,
           std::shared_ptr<Self> self, Make make) {
  SpawnLogged(on, task,
              [self, make]() -> awaitable<void> { co_await make(*self); });
}

}  // namespace

control::control(std::shared_ptr<node> here)
    : node_(std::move(here)),
      strand_(asio::make_strand(node_->context)),
      log_(strand_, {node_->settings.log_host, node_->settings.log_port}),
      ledger_log_(strand_,
                  {node_->settings.log_host, node_->settings.log_port}),
      host_source_(strand_,
                   {node_->settings.hosts_host, node_->settings.hosts_port}),
      replica_(ReplicaSettings(*node_)),
      membership_(SelfRecord(*node_),
                  Hash64(node_->settings.node, node_->incarnation)),
      gossip_(*node_, strand_),
      rpc_(MakeAdmin(*node_, *this)) {}

control::~control() = default;

void control::Start() {
  const auto self = shared_from_this();
  SetPort();
  SpawnLoop(strand_, "replica_ticks", [self] { return self->TickReplica(); });
  SpawnLoop(strand_, "membership_ticks",
            [self] { return self->TickMembership(); });
  SpawnLoop(strand_, "host_reads", [self] { return self->PollHosts(); });
  SpawnLoop(strand_, "ledger_reads", [self] { return self->ReadLedger(); });
  SpawnLoop(strand_, "receive_gossip", [self] {
    return self->gossip_.Receive(
        [self](const gossip_message& message) { self->OnGossip(message); });
  });
}

awaitable<void> control::Leave() {
  auto here = [](control& me) -> awaitable<void> {
    me.gossip_.Send(me.membership_.Leave(steady_clock::Now()));
    me.RebuildView();
    co_return;
  };
  co_await asio::co_spawn(strand_, here(*this), asio::use_awaitable);
}

awaitable<std::string> control::HandleRpc(std::string request) {
  auto here = [](control& me, std::string text) -> awaitable<std::string> {
    co_return me.rpc_->Handle(text);
  };
  auto handling = here(*this, std::move(request));
  co_return co_await asio::co_spawn(strand_, std::move(handling),
                                    asio::use_awaitable);
}

awaitable<void> control::TickReplica() {
  for (;;) {
    Do(replica_.Tick(steady_clock::Now()));
    co_await Sleep(strand_, kReplicaTick);
  }
}

awaitable<void> control::TickMembership() {
  for (;;) {
    gossip_.Send(membership_.Tick(steady_clock::Now()));
    NoteChanges();
    PassOnWords();
    co_await Sleep(strand_, kMembershipTick);
  }
}

awaitable<void> control::PollHosts() {
  for (;;) {
    try {
      host_list read = co_await host_source_.Read();
      gossip_.Send(membership_.SetSeeds(read.hosts, steady_clock::Now()));
      node_->hosts.Store(std::make_shared<host_list>(std::move(read)));
      RefreshShards();
    } catch (const platform_error&) {
      // The last list stays in use; it lags in any case.
    }
    co_await Sleep(strand_, kHostsInterval);
  }
}

awaitable<void> control::ReadLedger() {
  uint64_t from = 0;
  for (;;) {
    bool failed = false;
    try {
      log_page page = co_await ledger_log_.Read(kLedgerStream, from,
                                                kPageRecords, kLedgerWait);
      from = std::max(from, page.first);
      if (page.next < from) {
        from = page.first;  // the log was reset
      }
      for (log_record& record : page.records) {
        from = std::max(from, record.offset + 1);
        node_->ledger.Add(std::move(record));
      }
      node_->ledger.SetAway(from < page.next);
    } catch (const platform_error&) {
      failed = true;
    }
    if (failed) {
      node_->ledger.SetAway(true);
      co_await Sleep(strand_, kRetryPause);
    }
  }
}

awaitable<void> control::AppendLedger(std::string record) {
  try {
    co_await ledger_log_.Append(kLedgerStream, record);
  } catch (const platform_error&) {
    // The shard sees by reading whether the record is there.
  }
}

// Probes an instance for a peer that cannot judge whether it is the instance
// or its own path to it that fails.
awaitable<void> control::AnswerOpinion(outgoing_gossip answer) {
  for (opinion_note& note : answer.message.opinions) {
    http_client client(strand_, {note.address, note.port});
    http_request request(boost::beast::http::verb::get, "/_health", kHttp11);
    const millis begun = steady_clock::Now();
    try {
      co_await client.Exchange(std::move(request), kProbeTimeout);
      note.reached = true;
    } catch (const platform_error&) {
      note.reached = false;
    }
    note.latency = steady_clock::Now() - begun;
  }
  std::vector<outgoing_gossip> answers;
  answers.push_back(std::move(answer));
  gossip_.Send(std::move(answers));
}

awaitable<void> control::ReadConfig(read_log what) {
  bool failed = false;
  log_page page;
  try {
    page = co_await log_.Read(kStream, what.from, kPageRecords,
                              what.wait ? replica::kReadWait : millis(0));
  } catch (const platform_error&) {
    failed = true;
  }
  NoteLog(failed);
  if (failed) {
    Do(replica_.OnLogError(steady_clock::Now()));
  } else {
    Do(replica_.OnLogPage(page, steady_clock::Now()));
  }
}

awaitable<void> control::FetchConfig(fetch_from_peer what) {
  const auto known = peers_.find(what.node);
  std::string bytes;
  bool failed = known == peers_.end();
  if (!failed) {
    const auto from = known->second;
    const std::string params = nlohmann::json{
        {"number", what.have.number},
        {"chain",
         ToHex(what.have.chain)}}.dump();
    try {
      std::string request = RpcRequest("config_fetch", params);
      const std::string answer =
          co_await from->CallRpc(std::move(request), kFetchTimeout);
      const auto result = nlohmann::json::parse(RpcResult(answer));
      bytes = FromBase64(result.at("bytes").get<std::string>());
    } catch (const error&) {
      failed = true;
    } catch (const nlohmann::json::exception&) {
      failed = true;
    }
  }
  Do(failed ? replica_.OnFetchError(steady_clock::Now())
            : replica_.OnFetchAnswer(bytes, steady_clock::Now()));
}

awaitable<void> control::AppendConfig(append_record what) {
  try {
    co_await log_.Append(kStream, what.data);
  } catch (const platform_error&) {
    // The replica sees by reading whether the record is there.
  }
}

void control::Do(replica_actions actions) {
  for (replica_action& action : actions) {
    std::visit([this](auto& one) { Do(std::move(one)); }, action);
  }
}

void control::Do(read_log action) {
  Spawn(strand_, "read_config", shared_from_this(),
        [action](control& me) { return me.ReadConfig(action); });
}

void control::Do(fetch_from_peer action) {
  Spawn(strand_, "fetch_config", shared_from_this(),
        [action](control& me) { return me.FetchConfig(action); });
}

void control::Do(put_in_force action) {
  const revision_id id = action.next.id;
  node_->config.Store(action.next.snapshot);
  node_->teams.Store(
      MakeTeamTable(*action.next.snapshot, *node_->teams.Load()));
  membership_.SetRevision(id.number, HeadOf(id.chain));
  node_->events.Add(wall_clock::Now(), event_kind::kRevisionInForce, ToText(id),
                    "published by " + action.next.author);
  LOG(INFO) << "revision " << ToText(id) << " is in force";
  RebuildView();
  RefreshShards();
}

void control::Do(append_record action) {
  Spawn(strand_, "append_config", shared_from_this(),
        [action](control& me) { return me.AppendConfig(action); });
}

void control::Do(set_isolated action) {
  node_->isolated.store(action.isolated);
  LOG(WARNING) << (action.isolated ? "isolated: refusing requests"
                                   : "no longer isolated");
}

void control::OnGossip(const gossip_message& message) {
  const millis now = steady_clock::Now();
  gossip_.Send(membership_.OnMessage(message, now));
  if (message.sender.id != node_->settings.node) {
    Do(replica_.OnPeerHead(message.sender.id, IdOf(message.sender), now));
  }
}

void control::NoteLog(bool away) {
  if (away == log_away_) {
    return;
  }
  log_away_ = away;
  node_->events.Add(wall_clock::Now(),
                    away ? event_kind::kLogAway : event_kind::kLogBack, kStream,
                    "");
  LOG(WARNING) << (away ? "the log does not answer" : "the log answers again");
}

void control::NoteChanges() {
  bool changed = false;
  for (const member_change& change : membership_.TakeChanges()) {
    changed = true;
    const event_kind kind =
        change.event == member_event::kJoined   ? event_kind::kNodeJoined
        : change.event == member_event::kLeft   ? event_kind::kNodeLeft
        : change.event == member_event::kDoubts ? event_kind::kSelfDoubt
                                                : event_kind::kNodeSuspected;
    node_->events.Add(wall_clock::Now(), kind, change.id, change.detail);
    LOG(INFO) << "node " << change.id << " " << ToName(change.event) << " "
              << change.detail;
  }
  if (changed) {
    RebuildView();
  }
}

void control::RebuildView() {
  const auto config = node_->config.Load();
  if (!config) {
    return;
  }
  std::vector<node_view> nodes;
  for (const member& known : membership_.Members()) {
    const member_record& record = known.record;
    const bool gone = record.state == member_state::kDead ||
                      record.state == member_state::kLeft;
    nodes.push_back(
        {record.id, record.zone, record.incarnation, !gone && !record.doubts});
    if (record.id == node_->settings.node) {
      nodes.back().eligible = nodes.back().eligible && !node_->draining.load();
      continue;
    }
    const endpoint inner{record.address, record.port};
    auto& link = peers_[record.id];
    if (!link || link->inner() != inner) {
      link = std::make_shared<peer>(node_->context, record.id, inner,
                                    node_->settings.fleet_key, node_->memory);
    }
  }
  MakeSomeEligible(nodes);
  const auto before = node_->fleet.Load();
  node_->fleet.Store(MakeFleetView(*config, std::move(nodes), peers_,
                                   node_->settings.node, *before));
  RefreshOwnership();
}

// Sets up the shards that this node owns, and takes the rights from those that
// it runs for another owner.
void control::RefreshOwnership() {
  const auto fleet = node_->fleet.Load();
  for (const auto& [service, shards] : fleet->services) {
    for (size_t index = 0; index < shards.size(); ++index) {
      if (shards[index].has_owner && !shards[index].owner) {
        node_->owners.Get(service, static_cast<int>(index));
      }
    }
  }
  for (const auto& shard : node_->owners.All()) {
    shard->SetOwned(IsOwnedHere(*fleet, shard->service(), shard->index()));
  }
}

void control::PassOnWords() {
  const std::vector<leaving_note> leaving = membership_.TakeLeavingInstances();
  const std::vector<opinion_note> opinions = membership_.TakeOpinions();
  bool doubts = false;
  for (const auto& shard : node_->owners.All()) {
    doubts = doubts || shard->DoubtsItself();
    for (const leaving_note& note : leaving) {
      shard->OnLeaving(note);
    }
    for (const opinion_note& note : opinions) {
      shard->OnOpinion(note);
    }
  }
  membership_.SetSelfDoubt(doubts);
  node_->doubts.store(membership_.DoubtsItself());
  for (outgoing_gossip& asked : membership_.TakeOpinionRequests()) {
    Spawn(strand_, "answer_opinion", shared_from_this(),
          [asked](control& me) { return me.AnswerOpinion(asked); });
  }
}

// The shards call these from their own strands.
void control::SetPort() {
  const auto self = shared_from_this();
  node_->port.append_ejections = [self](std::string record) {
    Spawn(self->strand_, "append_ledger", self,
          [record](control& me) { return me.AppendLedger(record); });
  };
  node_->port.ask_opinions = [self](opinion_note note) {
    asio::post(self->strand_, [self, note] {
      self->gossip_.Send(
          self->membership_.AskOpinions(note, steady_clock::Now()));
    });
  };
  node_->port.note_leaving = [self](leaving_note note) {
    asio::post(self->strand_, [self, note] {
      self->membership_.SpreadLeaving(note, steady_clock::Now());
    });
  };
}

void control::RefreshShards() {
  const auto hosts = node_->hosts.Load();
  const auto config = node_->config.Load();
  for (const auto& shard : node_->owners.All()) {
    shard->SetHosts(hosts, config);
  }
}

}  // namespace peridotarch
