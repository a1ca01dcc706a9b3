#include "front/store_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"
#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

// The configuration changes seldom, so a read waits for the next change. A dead
// connection is noticed after kConfigWait plus kCallTimeout.
constexpr millis kConfigWait(3'000);
constexpr millis kCallTimeout(700);
// Entries change when an instance starts, leaves or begins to drain. The pause
// between reads batches the changes of a release into few calls; a leaving
// instance is still noticed well within 2 s.
constexpr millis kInstancesWait(3'000);
constexpr millis kInstancesPause(500);
// Applies while removals of entries are pending.
constexpr millis kPendingRemovalWait(200);
constexpr millis kStartupRetryDelay(150);  // until this node can serve
constexpr millis kDelegationPollInterval(250);
constexpr millis kStartupPollInterval(15);
// A node that starts gets the records from a peer, since each call to the store
// costs money. It reads the store if it has not listed its peers after
// kMaxListTime, or if none of them has given it the records kMaxPeerWait later.
constexpr millis kMaxListTime(300);
constexpr millis kMaxPeerWait(250);
constexpr millis kGreetingTime(40);  // until the peers have answered a report
// At the first start of the fleet the store writes the records of all nodes one
// after the other, and there are no callers yet.
constexpr millis kMaxFirstListTime(4'000);
constexpr millis kMaxFirstPeerWait(1'200);
constexpr millis kRetryDelay(900);  // even a refused call costs money

endpoint StoreEndpoint(const front_node& node) {
  return {node.settings.store.host, node.settings.store.port};
}

}  // namespace

store_watch::store_watch(std::shared_ptr<front_node> node)
    : node_(std::move(node)),
      config_client_(node_->context.get_executor(), StoreEndpoint(*node_)),
      instance_client_(node_->context.get_executor(), StoreEndpoint(*node_)),
      node_client_(node_->context.get_executor(), StoreEndpoint(*node_)),
      own_zone_wait_(node_->context) {}

// The coroutine keeps this object alive until the loop has ended.
void store_watch::Spawn(awaitable<void> (store_watch::*run)()) {
  SpawnLoop(node_->context, "store_watch", [self = shared_from_this(), run]() {
    return (self.get()->*run)();
  });
}

void store_watch::Start(std::function<void(const host_port&)> on_peer) {
  on_peer_ = std::move(on_peer);
  Spawn(&store_watch::FollowConfig);
  Spawn(&store_watch::FollowInstances);
  Spawn(&store_watch::Announce);
}

void store_watch::NoteStoreCall(bool reached, const std::string& call,
                                const std::string& detail) {
  node_->counters
      .Counter("store_calls_total", "Calls to the store by result.",
               {{"call", call}, {"result", reached ? "ok" : "failed"}})
      .Add();
  if (!reached) {
    instances_.NoteStoreUnreachable();
  }
  node_->reads_store = reached;
  if (reached != store_reached_) {
    store_reached_ = reached;
    node_->log.Write(reached ? "store_reached" : "store_lost",
                     {{"call", call}, {"detail", detail}});
  }
}

bool store_watch::ApplyConfig(const keyed_page& page) {
  const uint64_t known = next_config_offset_.value_or(0);
  next_config_offset_ = std::max(page.next, known);
  if (page.next < known) {
    return false;
  }
  bool changed = false;
  node_->mirror.Take(kConfigTopic, page);
  for (const keyed_record& record : page.records) {
    if (record.key != kConfigKey || !record.value) {
      continue;
    }
    try {
      fleet_config config = DecodeConfig(*record.value);
      const auto previous = node_->routes.Load();
      const uint64_t old_version = previous ? previous->config().version : 0;
      if (previous && config.version <= old_version) {
        continue;
      }
      node_->Verify(!previous || config.version > old_version,
                    invariant::kConfigForward, "");
      const uint64_t version = config.version;
      const size_t routes = config.routes.size();
      node_->routes.Store(
          std::make_shared<const route_index>(std::move(config)));
      node_->log.Write(
          "config_in_force",
          {{"version", version}, {"before", old_version}, {"routes", routes}});
      changed = true;
    } catch (const codec_error& failure) {
      node_->log.Write("config_refused", {{"error", failure.what()}});
    }
  }
  return changed;
}

awaitable<void> store_watch::ReadConfig() {
  keyed_page page;
  if (next_config_offset_) {
    // A read that waits does not show whether the store is reachable. The first
    // read after a failure, or after a time in which other nodes read for this
    // one, therefore does not wait.
    const millis wait = config_read_waits_ ? kConfigWait : millis(0);
    page = co_await config_client_.Read(kConfigTopic, *next_config_offset_,
                                        wait, wait + kCallTimeout);
  }
  if (!next_config_offset_ || page.forgotten) {
    next_config_offset_.reset();
    page = co_await config_client_.Newest(kConfigTopic, kCallTimeout);
  }
  if (ApplyConfig(page)) {
    node_->on_load_change(load_change::kRecordsChanged, 0);
  }
}

// Few nodes read the store for the others. The others learn of new records from
// load reports, and read them from the node that reports them. They do not
// announce them again, or each change would make every node write to all.
bool store_watch::DelegatesReads() const {
  if (!config_reached_ || !instances_reached_) {
    return false;
  }
  if (!node_->HasRecords()) {
    return WaitsForPeers();
  }
  return !instances_.HasPendingRemovals() && !node_->must_read_store();
}

// A node that starts alone finds peers that have the records. At the first
// start of the fleet one node of each zone reads them for the others. When all
// nodes restart no peer has them, and each reads the store without delay.
bool store_watch::WaitsForPeers() const {
  const millis now = boot_clock::Now();
  if (!nodes_listed_at_) {
    return now - node_->started_at < MaxListTime();
  }
  const millis since_listed = now - *nodes_listed_at_;
  return since_listed < kGreetingTime ||
         (since_listed < MaxPeerWait() && !node_->must_read_store_first());
}

millis store_watch::MaxListTime() const {
  return node_->settings.is_first_start ? kMaxFirstListTime : kMaxListTime;
}

millis store_watch::MaxPeerWait() const {
  return node_->settings.is_first_start ? kMaxFirstPeerWait : kMaxPeerWait;
}

millis store_watch::DelegationPollInterval() const {
  return node_->HasRecords() ? kDelegationPollInterval : kStartupPollInterval;
}

awaitable<void> store_watch::FollowConfig() {
  const asio::any_io_executor executor = node_->context.get_executor();
  for (;;) {
    if (DelegatesReads()) {
      config_read_waits_ = false;
      co_await Sleep(executor, DelegationPollInterval());
      continue;
    }
    std::string failed;
    try {
      co_await ReadConfig();
    } catch (const platform_error& failure) {
      failed = failure.what();
    }
    config_reached_ = failed.empty();
    config_read_waits_ = config_reached_;
    NoteStoreCall(failed.empty(), "config", failed);
    if (!failed.empty()) {
      const endpoint peer = NextMirror();
      co_await ReadFromPeer(kConfigTopic, peer);
      co_await Sleep(executor,
                     node_->routes.Load() ? kRetryDelay : kStartupRetryDelay);
    }
  }
}

// Ignores a page older than the known records: a read of the store may end
// after a peer has given newer records, and would bring back instances that
// have left.
void store_watch::ApplyInstances(const keyed_page& page) {
  next_instances_offset_ = std::max(page.next, node_->instances_offset.value());
  if (page.next < node_->instances_offset) {
    return;
  }
  node_->instances_offset = page.next;
  node_->mirror.Take(kInstanceTopic, page);
  const millis now = boot_clock::Now();
  std::vector<instance_entry> listed;
  for (const keyed_record& record : page.records) {
    if (!record.value) {
      instances_.Remove(record.key, now);
      continue;
    }
    try {
      const instance_entry entry = DecodeInstance(record.key, *record.value);
      listed.push_back(entry);
      if (!page.whole) {
        instances_.Put(entry);
      }
    } catch (const codec_error& failure) {
      node_->log.Write("instance_entry_refused",
                       {{"instance", record.key}, {"error", failure.what()}});
      instances_.Remove(record.key, now);  // what it had replaced is gone
    }
  }
  if (page.whole) {
    instances_.Replace(listed, now);
  }
}

bool store_watch::PublishInstances() {
  const millis now = boot_clock::Now();
  if (!instances_.ApplyPendingRemovals(now)) {
    return false;
  }
  const std::vector<instance_entry> entries = instances_.Entries();
  node_->selector.SetInstances(entries, now);
  size_t draining = 0;
  for (const instance_entry& entry : entries) {
    draining += entry.draining ? 1 : 0;
  }
  node_->log.Write("instances_changed",
                   {{"instances", entries.size()},
                    {"draining", draining},
                    {"offset", next_instances_offset_.value_or(0)}});
  return true;
}

awaitable<void> store_watch::ReadInstances() {
  keyed_page page;
  if (next_instances_offset_) {
    const millis wait = InstancesReadWait();
    page = co_await instance_client_.Read(
        kInstanceTopic, *next_instances_offset_, wait, wait + kCallTimeout);
  }
  if (!next_instances_offset_ || page.forgotten) {
    next_instances_offset_.reset();
    page = co_await instance_client_.Newest(kInstanceTopic, kCallTimeout);
  }
  ApplyInstances(page);
  instances_.NoteStoreRead();
  node_->instances_known = true;
}

millis store_watch::InstancesReadWait() const {
  if (!instances_read_waits_) {
    return millis(0);
  }
  return instances_.HasPendingRemovals() ? kPendingRemovalWait : kInstancesWait;
}

millis store_watch::PauseAfterRead(bool reached) const {
  if (!node_->instances_known) {
    return kStartupRetryDelay;
  }
  if (instances_.HasPendingRemovals()) {
    return kPendingRemovalWait;
  }
  return reached ? kInstancesPause : kRetryDelay;
}

awaitable<void> store_watch::FollowInstances() {
  const asio::any_io_executor executor = node_->context.get_executor();
  for (;;) {
    if (DelegatesReads()) {
      instances_read_waits_ = false;
      co_await Sleep(executor, DelegationPollInterval());
      continue;
    }
    std::string failed;
    try {
      co_await ReadInstances();
    } catch (const platform_error& failure) {
      failed = failure.what();
    }
    instances_reached_ = failed.empty();
    instances_read_waits_ = instances_reached_;
    NoteStoreCall(failed.empty(), "instances", failed);
    if (!failed.empty()) {
      const endpoint peer = NextMirror();
      co_await ReadFromPeer(kInstanceTopic, peer);
    }
    if (PublishInstances()) {
      node_->instances_changed_at = node_->instances_offset;
      node_->on_load_change(load_change::kRecordsChanged, 0);
    }
    co_await Sleep(executor, PauseAfterRead(failed.empty()));
  }
}

// Returns whether the record of this node is among them.
awaitable<bool> store_watch::ListNodes(const node_record& self) {
  const keyed_page page =
      co_await node_client_.Newest(kNodeTopic, kCallTimeout);
  bool found_self = false;
  for (const keyed_record& record : page.records) {
    if (!record.value) {
      continue;
    }
    try {
      const host_port peer = DecodeNode(record.key, *record.value).peer;
      found_self = found_self || (record.key == self.node && peer == self.peer);
      on_peer_(peer);
    } catch (const codec_error& failure) {
      node_->log.Write("node_record_refused",
                       {{"record", record.key}, {"error", failure.what()}});
    }
  }
  if (!nodes_listed_at_) {
    nodes_listed_at_ = boot_clock::Now();
  }
  co_return found_self;
}

// A node that restarts finds its record in the store and does not write it
// again. One that writes it reads the records of the others after that. If two
// nodes start together, at least one of them therefore finds the record of the
// other, which then learns of the first node from its load reports.
awaitable<void> store_watch::Announce() {
  const asio::any_io_executor executor = node_->context.get_executor();
  node_record self;
  self.node = node_->settings.node;
  self.peer = {node_->settings.callers.host, node_->settings.peer_port};
  const std::string value = Encode(self);
  bool must_write = node_->settings.is_first_start;
  bool is_written = false;
  for (;;) {
    std::string failed;
    try {
      if (must_write && !is_written) {
        co_await node_client_.Put(kNodeTopic, self.node, value,
                                  std::max(kCallTimeout, MaxListTime()));
        is_written = true;
      }
      if (co_await ListNodes(self) || is_written) {
        break;
      }
      must_write = true;
      continue;
    } catch (const platform_error& failure) {
      failed = failure.what();
    }
    node_->log.Write("announce_failed", {{"error", failed}});
    co_await Sleep(executor, kRetryDelay);
  }
}

}  // namespace peridotarch
