#include "front/store_watch.h"

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
constexpr millis kFirstRetry(150);  // while this node cannot serve yet
constexpr millis kRetry(900);       // every call is paid for, refused ones too

endpoint StoreOf(const front_node& here) {
  return {here.settings.store.host, here.settings.store.port};
}

}  // namespace

store_watch::store_watch(std::shared_ptr<front_node> here)
    : here_(std::move(here)),
      config_client_(here_->context.get_executor(), StoreOf(*here_)),
      instance_client_(here_->context.get_executor(), StoreOf(*here_)),
      other_client_(here_->context.get_executor(), StoreOf(*here_)) {}

void store_watch::Start(std::function<void(const host_port&)> on_peer) {
  on_peer_ = std::move(on_peer);
  asio::co_spawn(here_->context, FollowConfig(), asio::detached);
  asio::co_spawn(here_->context, FollowInstances(), asio::detached);
  asio::co_spawn(here_->context, Announce(), asio::detached);
}

void store_watch::NoteStore(bool reached, const std::string& call,
                            const std::string& detail) {
  here_->counters
      .Counter("store_calls_total", "Calls to the store by result.",
               {{"call", call}, {"result", reached ? "ok" : "failed"}})
      .Add();
  if (!reached) {
    instances_.NoteStoreAway();
  }
  if (reached != reached_) {
    reached_ = reached;
    here_->log.Write(reached ? "store_reached" : "store_lost",
                     {{"call", call}, {"detail", detail}});
  }
}

void store_watch::TakeConfig(const keyed_page& page) {
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
      Check(!before || config.version > old, invariant::kConfigForward);
      const uint64_t version = config.version;
      const size_t routes = config.routes.size();
      here_->routes.Store(
          std::make_shared<const route_index>(std::move(config)));
      here_->log.Write(
          "config_in_force",
          {{"version", version}, {"before", old}, {"routes", routes}});
      here_->load_changed(true);
    } catch (const codec_error& bad) {
      here_->log.Write("config_refused", {{"error", bad.what()}});
    }
  }
}

awaitable<void> store_watch::ReadConfig() {
  keyed_page page;
  if (config_next_) {
    page = co_await config_client_.Read(
        kConfigTopic, *config_next_, kConfigWait, kConfigWait + kCallTimeout);
  }
  if (!config_next_ || page.forgotten) {
    config_next_.reset();
    page = co_await config_client_.Newest(kConfigTopic, kCallTimeout);
  }
  config_next_ = page.next;
  TakeConfig(page);
}

awaitable<void> store_watch::FollowConfig() {
  const asio::any_io_executor on = here_->context.get_executor();
  for (;;) {
    std::string failed;
    try {
      co_await ReadConfig();
    } catch (const platform_error& away) {
      failed = away.what();
    }
    NoteStore(failed.empty(), "config", failed);
    if (!failed.empty()) {
      co_await Sleep(on, here_->routes.Load() ? kRetry : kFirstRetry);
    }
  }
}

void store_watch::FetchConfig() {
  if (!fetching_) {
    fetching_ = true;
    asio::co_spawn(here_->context, FetchConfigOnce(), asio::detached);
  }
}

awaitable<void> store_watch::FetchConfigOnce() {
  const asio::any_io_executor on = here_->context.get_executor();
  bool reached = false;
  try {
    const keyed_page page =
        co_await other_client_.Newest(kConfigTopic, kCallTimeout);
    reached = true;
    TakeConfig(page);
  } catch (const platform_error& away) {
    here_->log.Write("config_fetch_failed", {{"error", away.what()}});
  }
  co_await Sleep(on, reached ? kFirstRetry : kRetry);
  fetching_ = false;
}

void store_watch::TakeInstances(const keyed_page& page, bool whole) {
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
      if (!whole) {
        instances_.Put(entry);
      }
    } catch (const codec_error& bad) {
      here_->log.Write("instance_entry_refused",
                       {{"instance", record.key}, {"error", bad.what()}});
    }
  }
  if (whole) {
    instances_.Replace(listed, now);
  }
}

void store_watch::PublishInstances() {
  const millis now = boot_clock::Now();
  if (!instances_.Settle(now)) {
    return;
  }
  const std::vector<instance_entry> entries = instances_.Entries();
  here_->board.SetInstances(entries, now);
  size_t draining = 0;
  for (const instance_entry& entry : entries) {
    draining += entry.draining ? 1 : 0;
  }
  here_->log.Write("instances_changed",
                   {{"instances", entries.size()},
                    {"draining", draining},
                    {"offset", instances_next_.value_or(0)}});
}

awaitable<void> store_watch::ReadInstances() {
  keyed_page page;
  bool whole = false;
  if (instances_next_) {
    const millis wait = instances_.Unsettled() ? kSettleWait : kInstanceWait;
    page = co_await instance_client_.Read(kInstanceTopic, *instances_next_,
                                          wait, wait + kCallTimeout);
  }
  if (!instances_next_ || page.forgotten) {
    instances_next_.reset();
    page = co_await instance_client_.Newest(kInstanceTopic, kCallTimeout);
    whole = true;
  }
  instances_next_ = page.next;
  TakeInstances(page, whole);
  instances_.NoteStoreRead();
  here_->instances_known = true;
}

millis store_watch::PauseAfter(bool reached) const {
  if (!here_->instances_known) {
    return kFirstRetry;
  }
  if (instances_.Unsettled()) {
    return kSettleWait;
  }
  return reached ? kInstancePause : kRetry;
}

awaitable<void> store_watch::FollowInstances() {
  const asio::any_io_executor on = here_->context.get_executor();
  for (;;) {
    std::string failed;
    try {
      co_await ReadInstances();
    } catch (const platform_error& away) {
      failed = away.what();
    }
    NoteStore(failed.empty(), "instances", failed);
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
