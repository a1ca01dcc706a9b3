#include "front/store_watch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

// The configuration changes seldom, so a read waits for the next change. A
// connection that has gone silent is noticed after wait and margin.
constexpr millis kConfigWait(3'000);
constexpr millis kCallTimeout(700);
// Entries change when an instance comes, leaves or starts to drain. A pause
// between reads gathers the changes of a release into few calls and still lets
// a leaving instance be known well within two seconds.
constexpr millis kInstanceWait(3'000);
constexpr millis kInstancePause(500);
// While lapsed entries wait to be dropped.
constexpr millis kSettleWait(200);
constexpr millis kFirstRetry(150);     // while this node cannot serve yet
constexpr millis kDelegateCheck(250);  // whether others still read for it
constexpr millis kFetchPause(30);      // between reads at peers that are ahead
constexpr millis kRetry(900);  // every call is paid for, refused ones too

endpoint StoreOf(const front_node& here) {
  return {here.settings.store.host, here.settings.store.port};
}

}  // namespace

store_watch::store_watch(std::shared_ptr<front_node> here)
    : here_(std::move(here)),
      config_client_(here_->context.get_executor(), StoreOf(*here_)),
      instance_client_(here_->context.get_executor(), StoreOf(*here_)),
      other_client_(here_->context.get_executor(), StoreOf(*here_)) {}

// The coroutine keeps this object alive until the loop has ended.
void store_watch::Spawn(awaitable<void> (store_watch::*run)()) {
  asio::co_spawn(
      here_->context,
      [self = shared_from_this(), run]() { return (self.get()->*run)(); },
      asio::detached);
}

void store_watch::Start(std::function<void(const host_port&)> on_peer) {
  on_peer_ = std::move(on_peer);
  Spawn(&store_watch::FollowConfig);
  Spawn(&store_watch::FollowInstances);
  Spawn(&store_watch::Announce);
}

void store_watch::NoteStore(bool reached, const std::string& call,
                            const std::string& detail) {
  here_->counters
      .Counter("store_calls_total", "Calls to the store by result.",
               {{"call", call}, {"result", reached ? "ok" : "failed"}})
      .Add();
  if (!reached) {
    instances_.NoteStoreUnreachable();
  }
  here_->reads_store = reached;
  if (reached != reached_) {
    reached_ = reached;
    here_->log.Write(reached ? "store_reached" : "store_lost",
                     {{"call", call}, {"detail", detail}});
  }
}

void store_watch::TakeConfig(const keyed_page& page) {
  const uint64_t known = config_next_.value_or(0);
  config_next_ = std::max(page.next, known);
  if (page.next < known) {
    return;
  }
  here_->mirror.Take(kConfigTopic, page);
  for (const keyed_record& record : page.records) {
    if (record.key != kConfigKey || !record.value) {
      continue;
    }
    try {
      fleet_config config = DecodeConfig(*record.value);
      const auto before = here_->routes.Load();
      const uint64_t old = before ? before->config().version : 0;
      if (before && config.version <= old) {
        continue;
      }
      here_->Verify(!before || config.version > old, invariant::kConfigForward,
                    "");
      const uint64_t version = config.version;
      const size_t routes = config.routes.size();
      here_->routes.Store(
          std::make_shared<const route_index>(std::move(config)));
      here_->log.Write(
          "config_in_force",
          {{"version", version}, {"before", old}, {"routes", routes}});
      here_->on_load_change(load_change::kUrgent);
    } catch (const codec_error& bad) {
      here_->log.Write("config_refused", {{"error", bad.what()}});
    }
  }
}

awaitable<void> store_watch::ReadConfig() {
  keyed_page page;
  if (config_next_) {
    // A read that waits hides whether the store is there, so the first one
    // after a failure or after others have read for this node does not.
    const millis wait = config_waits_ ? kConfigWait : millis(0);
    page = co_await config_client_.Read(kConfigTopic, *config_next_, wait,
                                        wait + kCallTimeout);
  }
  if (!config_next_ || page.forgotten) {
    config_next_.reset();
    page = co_await config_client_.Newest(kConfigTopic, kCallTimeout);
  }
  TakeConfig(page);
}

// A peer that reads the store, or a seed as long as none has been heard; empty
// when there is neither.
endpoint store_watch::MirrorAddress() {
  if (const auto peer = here_->find_store_reader()) {
    return {*peer, here_->settings.control.port};
  }
  const auto& seeds = here_->settings.seeds;
  if (here_->nodes > 1 || seeds.empty()) {
    return {};
  }
  const host_port& seed = seeds[next_seed_++ % seeds.size()];
  return {seed.host, seed.port};
}

// The store may turn this node away and serve others: what they have read is
// newer than what this node knows.
awaitable<void> store_watch::ReadFromPeer(std::string_view topic,
                                          const endpoint& where) {
  if (where.address.empty() || where.address == here_->settings.control.host) {
    co_return;
  }
  const bool config = topic == kConfigTopic;
  try {
    store_client peer(here_->context.get_executor(), where);
    const keyed_page page = co_await peer.Newest(
        topic, kCallTimeout, config ? config_next_ : instances_next_);
    if (config) {
      TakeConfig(page);
    } else {
      TakeInstances(page);
      here_->instances_known = true;
      PublishInstances();
    }
    here_->counters
        .Counter("peer_reads_total", "Reads of the store's records at a peer.")
        .Add();
  } catch (const platform_error& away) {
    here_->log.Write(
        "peer_read_failed",
        {{"peer", where.address}, {"topic", topic}, {"error", away.what()}});
  }
}

// Two nodes of a zone read for the others, which learn from reports that
// there is something new and read it at the node that reports it.
bool store_watch::Delegates() const {
  return here_->routes.Load() != nullptr && here_->instances_known &&
         config_reached_ && instances_reached_ &&
         !instances_.HasPendingRemovals() && !here_->must_read_store();
}

awaitable<void> store_watch::FollowConfig() {
  const asio::any_io_executor on = here_->context.get_executor();
  for (;;) {
    if (Delegates()) {
      config_waits_ = false;
      co_await Sleep(on, kDelegateCheck);
      continue;
    }
    std::string failed;
    try {
      co_await ReadConfig();
    } catch (const platform_error& away) {
      failed = away.what();
    }
    config_reached_ = failed.empty();
    config_waits_ = config_reached_;
    NoteStore(failed.empty(), "config", failed);
    if (!failed.empty()) {
      const endpoint peer = MirrorAddress();
      co_await ReadFromPeer(kConfigTopic, peer);
      co_await Sleep(on, here_->routes.Load() ? kRetry : kFirstRetry);
    }
  }
}

void store_watch::CatchUp(const std::string& peer) {
  if (!fetching_) {
    fetching_ = true;
    ahead_ = peer;
    Spawn(&store_watch::CatchUpOnce);
  }
}

awaitable<void> store_watch::CatchUpOnce() {
  const asio::any_io_executor on = here_->context.get_executor();
  const endpoint newer{ahead_, here_->settings.control.port};
  co_await ReadFromPeer(kConfigTopic, newer);
  co_await ReadFromPeer(kInstanceTopic, newer);
  co_await Sleep(on, kFetchPause);
  fetching_ = false;
}

// A read of the store may end after a peer has given later records: what it
// brings is older, and would bring back instances that have left.
void store_watch::TakeInstances(const keyed_page& page) {
  instances_next_ = std::max(page.next, here_->instances_offset);
  if (page.next < here_->instances_offset) {
    return;
  }
  here_->instances_offset = page.next;
  here_->mirror.Take(kInstanceTopic, page);
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
    } catch (const codec_error& bad) {
      here_->log.Write("instance_entry_refused",
                       {{"instance", record.key}, {"error", bad.what()}});
    }
  }
  if (page.whole) {
    instances_.Replace(listed, now);
  }
}

void store_watch::PublishInstances() {
  const millis now = boot_clock::Now();
  if (!instances_.ApplyPendingRemovals(now)) {
    return;
  }
  const std::vector<instance_entry> entries = instances_.Entries();
  here_->selector.SetInstances(entries, now);
  size_t draining = 0;
  for (const instance_entry& entry : entries) {
    draining += entry.draining ? 1 : 0;
  }
  here_->on_load_change(load_change::kUrgent);
  here_->log.Write("instances_changed",
                   {{"instances", entries.size()},
                    {"draining", draining},
                    {"offset", instances_next_.value_or(0)}});
}

awaitable<void> store_watch::ReadInstances() {
  keyed_page page;
  if (instances_next_) {
    const millis wait = InstanceWait();
    page = co_await instance_client_.Read(kInstanceTopic, *instances_next_,
                                          wait, wait + kCallTimeout);
  }
  if (!instances_next_ || page.forgotten) {
    instances_next_.reset();
    page = co_await instance_client_.Newest(kInstanceTopic, kCallTimeout);
  }
  TakeInstances(page);
  instances_.NoteStoreRead();
  here_->instances_known = true;
}

millis store_watch::InstanceWait() const {
  if (!instances_wait_) {
    return millis(0);
  }
  return instances_.HasPendingRemovals() ? kSettleWait : kInstanceWait;
}

millis store_watch::PauseAfter(bool reached) const {
  if (!here_->instances_known) {
    return kFirstRetry;
  }
  if (instances_.HasPendingRemovals()) {
    return kSettleWait;
  }
  return reached ? kInstancePause : kRetry;
}

awaitable<void> store_watch::FollowInstances() {
  const asio::any_io_executor on = here_->context.get_executor();
  for (;;) {
    if (Delegates()) {
      instances_wait_ = false;
      co_await Sleep(on, kDelegateCheck);
      continue;
    }
    std::string failed;
    try {
      co_await ReadInstances();
    } catch (const platform_error& away) {
      failed = away.what();
    }
    instances_reached_ = failed.empty();
    instances_wait_ = instances_reached_;
    NoteStore(failed.empty(), "instances", failed);
    if (!failed.empty()) {
      const endpoint peer = MirrorAddress();
      co_await ReadFromPeer(kInstanceTopic, peer);
    }
    PublishInstances();
    co_await Sleep(on, PauseAfter(failed.empty()));
  }
}

// A node writes itself down before it reads the others, so of two that start
// together at least one finds the other, and its reports tell it back.
awaitable<void> store_watch::Announce() {
  const asio::any_io_executor on = here_->context.get_executor();
  node_record self;
  self.node = here_->settings.node;
  self.peer = {here_->settings.callers.host, here_->settings.peer_port};
  const std::string value = Encode(self);
  bool written = false;
  for (;;) {
    std::string failed;
    try {
      if (!written) {
        co_await other_client_.Put(kNodeTopic, self.node, value, kCallTimeout);
        written = true;
      }
      const keyed_page page =
          co_await other_client_.Newest(kNodeTopic, kCallTimeout);
      for (const keyed_record& record : page.records) {
        on_peer_(DecodeNode(record.key, *record.value).peer);
      }
      break;
    } catch (const error& bad) {
      failed = bad.what();
    }
    here_->log.Write("announce_failed", {{"error", failed}});
    co_await Sleep(on, kRetry);
  }
}

}  // namespace peridotarch
