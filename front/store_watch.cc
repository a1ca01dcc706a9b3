#include "front/store_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"
#include "core/record_position.h"
#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

// A read waits for the next change; the schedule bounds the wait.
constexpr millis kReadWait(3'000);
// Instances renew their entries all the time. The pause between reads batches
// the records into few calls; a leaving instance is still noticed well within
// 2 s.
constexpr millis kConfigPause(0);
constexpr millis kInstancesPause(500);
// Applies while removals of entries are pending.
constexpr millis kPendingRemovalWait(200);
constexpr millis kStartupRetryDelay(150);  // until this node can serve
constexpr millis kDelegationPollInterval(250);
constexpr millis kBehindPollInterval(50);  // while a peer knows more
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

}  // namespace

store_watch::store_watch(std::shared_ptr<front_node> node)
    : node_(std::move(node)),
      config_(*node_, kConfigTopic, kConfigPause),
      instances_(*node_, kInstanceTopic, kInstancesPause),
      node_client_(node_->context.get_executor(),
                   {node_->settings.store.host, node_->settings.store.port},
                   record_server::kStore) {}

// The coroutine keeps this object alive until the loop has ended.
void store_watch::Spawn(std::function<awaitable<void>(store_watch&)> run) {
  SpawnLoop(node_->context, "store_watch",
            [self = shared_from_this(), run = std::move(run)]() {
              return run(*self);
            });
}

void store_watch::Start(std::function<void(const host_port&)> on_peer) {
  on_peer_ = std::move(on_peer);
  node_->on_takeover_due = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->WakeReaders();
    }
  };
  Spawn([](store_watch& watch) { return watch.Follow(watch.config_); });
  Spawn([](store_watch& watch) { return watch.Follow(watch.instances_); });
  Spawn([](store_watch& watch) { return watch.Announce(); });
}

void store_watch::NoteStoreCall(bool reached, std::string_view call,
                                const std::string& detail) {
  node_->counters
      .Counter(
          "store_calls_total", "Calls to the store by result.",
          {{"call", std::string(call)}, {"result", reached ? "ok" : "failed"}})
      .Add();
  if (reached != store_reached_) {
    store_reached_ = reached;
    node_->log.Write(reached ? "store_reached" : "store_lost",
                     {{"call", call}, {"detail", detail}});
  }
}

topic_position store_watch::PositionIn(const followed_topic& topic) const {
  return IsConfig(topic) ? node_->ConfigVersion().value()
                         : node_->instances_offset.value();
}

topic_position store_watch::PositionOf(const peer_ahead& peer,
                                       const followed_topic& topic) const {
  return IsConfig(topic) ? peer.config_version.value()
                         : peer.instances_offset.value();
}

bool store_watch::Apply(followed_topic& topic, const keyed_page& page,
                        std::string_view source) {
  bool changed = false;
  if (IsConfig(topic)) {
    changed = ApplyConfig(page, source);
  } else {
    ApplyInstances(page);
    node_->instances_known = true;
    changed = PublishInstances(source);
  }
  topic.lag.NoteKnown(PositionIn(topic));
  return changed;
}

// Reading many changes one after the other takes the longer the more a node has
// missed. It reads the newest values instead if it knows that it is behind, or
// if the changes do not fit into a short answer.
awaitable<void> store_watch::ReadStore(followed_topic& topic) {
  const millis began_at = boot_clock::Now();
  const read_times times = topic.schedule.Begin(MaxReadWait(topic), began_at);
  keyed_page page;
  bool reads_newest = !topic.next_offset || topic.lag.BehindSince();
  if (!reads_newest) {
    page = co_await topic.client.Read(topic.name, *topic.next_offset,
                                      times.wait, times.timeout);
    reads_newest = page.forgotten || page.has_more;
  }
  if (page.forgotten) {
    topic.next_offset.reset();
  }
  if (reads_newest) {
    page = co_await topic.client.Newest(topic.name, times.timeout - times.wait);
  }
  const bool has_changed = Apply(topic, page, kSourceStore);
  topic.schedule.NoteAnswered(!page.records.empty());
  UpdateReaderClaim();
  if (has_changed) {
    AnnounceChange(topic);
  }
  if (IsConfig(topic)) {
    if (!node_->IsBehindPeers() && !is_newest_refused_) {
      node_->freshness.NoteProof(began_at, node_->ConfigVersion(),
                                 node_->ConfigVersion());
    }
  } else {
    list_.NoteStoreRead();
  }
  topic.lag.NoteStoreRead(began_at);
}

// Few nodes read the store for the others. The others learn of new records from
// load reports, and read them from the node that reports them. They do not
// announce them again, or each change would make every node write to all. A
// node that does not get the records from its peers in time reads the store.
bool store_watch::DelegatesReads(const followed_topic& topic) const {
  if (!config_.reached || !instances_.reached) {
    return false;
  }
  if (!node_->HasRecords()) {
    return WaitsForPeers();
  }
  return !IsReader() && !topic.lag.IsOverdue(boot_clock::Now());
}

// A reader that the store has refused goes on until it has read both topics,
// even if others read for it by then: its list is that of an outage until then.
bool store_watch::IsReader() const {
  return !node_->HasRecords() || node_->must_read_store() || !config_.reached ||
         !instances_.reached || list_.HasPendingRemovals();
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

millis store_watch::DelegationPollInterval(const followed_topic& topic) const {
  if (!node_->HasRecords()) {
    return kStartupPollInterval;
  }
  return topic.lag.BehindSince() ? kBehindPollInterval
                                 : kDelegationPollInterval;
}

// Ignores a page older than the known records: a read of the store may end
// after a peer has given newer records, and would bring back instances that
// have left.
void store_watch::ApplyInstances(const keyed_page& page) {
  instances_.next_offset = std::max(page.next, node_->instances_offset);
  if (page.next < node_->instances_offset) {
    return;
  }
  if (EraOf(page.next) > EraOf(node_->instances_offset) &&
      node_->instances_known) {
    OnStoreRestored(EraOf(page.next));
  }
  node_->instances_offset = page.next;
  node_->mirror.Take(kInstanceTopic, page);
  const millis now = boot_clock::Now();
  std::vector<instance_entry> listed;
  for (const keyed_record& record : page.records) {
    if (!record.value) {
      list_.Remove(record.key, now);
      continue;
    }
    try {
      const instance_entry entry = DecodeInstance(record.key, *record.value);
      listed.push_back(entry);
      if (!page.whole) {
        list_.Put(entry);
      }
    } catch (const codec_error& failure) {
      node_->log.Write("instance_entry_refused",
                       {{"instance", record.key}, {"error", failure.what()}});
      list_.Remove(record.key, now);  // what it had replaced is gone
    }
  }
  if (page.whole) {
    list_.Replace(listed, now);
  }
}

// Live instances write their entries again, and the operator the configuration.
void store_watch::OnStoreRestored(uint64_t era) {
  list_.NoteStoreRestored();
  node_->log.Write("store_restored", {{"era", era}});
  Spawn([](store_watch& watch) { return watch.RenewOwnRecord(); });
}

bool store_watch::PublishInstances(std::string_view source) {
  const millis now = boot_clock::Now();
  if (!list_.ApplyPendingRemovals(now)) {
    return false;
  }
  const std::vector<instance_entry> entries = list_.Entries();
  node_->selector.SetInstances(entries, now);
  size_t draining = 0;
  for (const instance_entry& entry : entries) {
    draining += entry.draining ? 1 : 0;
  }
  node_->log.Write("instances_changed",
                   {{"instances", entries.size()},
                    {"draining", draining},
                    {"offset", instances_.next_offset.value_or(0).value()},
                    {"source", source},
                    {"behind_ms", instances_.lag.BehindFor(now).count()}});
  return true;
}

// A reader tells the nodes for which it reads the store.
void store_watch::AnnounceChange(const followed_topic& topic) {
  if (!IsReader()) {
    NoteCaughtUp(topic, PositionOf(topic.source, topic));
    return;
  }
  if (!IsConfig(topic)) {
    node_->instances_changed_at = node_->instances_offset;
  }
  node_->on_load_change(load_change::kRecordsChanged, 0);
}

void store_watch::NoteCaughtUp(const followed_topic& topic,
                               topic_position position) {
  record_offset& changed_at = node_->instances_changed_at;
  if (!IsConfig(topic) && changed_at == record_offset()) {
    changed_at = node_->instances_offset;
  } else if (!IsConfig(topic) && PositionIn(topic) >= position) {
    changed_at = std::max(changed_at, record_offset(position.value()));
  }
  node_->on_load_change(load_change::kCaughtUp, 0);
}

millis store_watch::MaxReadWait(const followed_topic& topic) const {
  return !IsConfig(topic) && list_.HasPendingRemovals() ? kPendingRemovalWait
                                                        : kReadWait;
}

millis store_watch::PauseAfterRead(const followed_topic& topic,
                                   bool reached) const {
  const bool is_known = IsConfig(topic) ? node_->routes.Load() != nullptr
                                        : node_->instances_known;
  if (!is_known && (!IsConfig(topic) || !reached)) {
    return kStartupRetryDelay;
  }
  if (!IsConfig(topic) && list_.HasPendingRemovals()) {
    return kPendingRemovalWait;
  }
  if (!reached) {
    // Many nodes may be late at the same moment.
    return IsReader() ? kStoreRetryDelay : node_->Jitter(kStoreRetryDelay);
  }
  return topic.schedule.PauseAfterAnswer();
}

// A read that a node makes because its peers are late tells nothing of an
// outage: it may fail because many nodes make it at once. Nor does the first
// failure of a reader, after which it asks again.
awaitable<millis> store_watch::EndRead(followed_topic& topic, bool as_reader,
                                       const std::string& failed) {
  const bool reached = failed.empty();
  topic.reached = reached || !as_reader;
  NoteStoreCall(reached, IsConfig(topic) ? "config" : "instances", failed);
  if (!reached) {
    const bool asks_again = topic.schedule.NoteFailed(boot_clock::Now());
    UpdateReaderClaim();
    if (asks_again) {
      co_return millis(0);
    }
    if (as_reader) {
      list_.NoteStoreUnreachable();
    }
    const endpoint peer = NextMirror();
    co_await ReadFromPeer(topic, peer);
  }
  if (!IsConfig(topic) && PublishInstances(kSourceStore)) {
    AnnounceChange(topic);
  }
  co_return PauseAfterRead(topic, reached);
}

awaitable<void> store_watch::Follow(followed_topic& topic) {
  const asio::any_io_executor executor = node_->context.get_executor();
  for (;;) {
    if (DelegatesReads(topic)) {
      co_await WaitForDuty(topic);
      continue;
    }
    const bool as_reader = IsReader();
    if (as_reader) {
      NoteTakeover();
    }
    std::string failed;
    try {
      co_await ReadStore(topic);
    } catch (const platform_error& failure) {
      failed = failure.what();
    }
    const millis pause = co_await EndRead(topic, as_reader, failed);
    co_await Sleep(executor, pause);
  }
}

}  // namespace peridotarch
