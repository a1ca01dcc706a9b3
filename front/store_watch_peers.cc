// Reads of the store's records at other nodes.
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "front/store_watch.h"
#include "platform/to_chrono.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

constexpr millis kPeerCallTimeout(700);
constexpr millis kCatchUpPause(30);  // between reads from peers
constexpr millis kOtherZoneDelay(300);
// Nodes of a zone read a change one after the other, most of them at nodes that
// have just read it, so that the reader's link does not delay them all.
constexpr millis kCatchUpSpreadPerNode(4);

}  // namespace

// Returns a peer that reads the store, else the next seed as long as no other
// node is live. The endpoint is empty if there is neither.
endpoint store_watch::NextMirror() {
  if (const auto peer = node_->find_store_reader()) {
    return {*peer, node_->settings.control.port};
  }
  const auto& seeds = node_->settings.seeds;
  if (node_->live_nodes > 1 || seeds.empty()) {
    return {};
  }
  const host_port& seed = seeds[next_seed_++ % seeds.size()];
  return {seed.host, seed.port};
}

// The store may refuse this node and still serve others, so the records of a
// peer may be newer than the records that this node knows.
awaitable<void> store_watch::ReadFromPeer(followed_topic& topic,
                                          const endpoint& remote) {
  if (remote.address.empty() ||
      remote.address == node_->settings.control.host) {
    co_return;
  }
  const std::optional<record_offset> known = topic.next_offset;
  try {
    store_client peer(node_->context.get_executor(), remote,
                      record_server::kPeer);
    const keyed_page page =
        co_await peer.Newest(topic.name, kPeerCallTimeout, known);
    Apply(topic, page, remote.address);
    node_->counters
        .Counter("peer_reads_total", "Reads of the store's records at a peer.")
        .Add();
  } catch (const platform_error& failure) {
    node_->log.Write(
        "peer_read_failed",
        {{"peer", remote.address},
         {"topic", topic.name},
         {"error", failure.what()},
         {"known", known.value_or(0).value()},
         {"behind_ms", topic.lag.BehindFor(boot_clock::Now()).count()}});
    node_->counters
        .Counter("peer_read_failures_total",
                 "Failed reads of the store's records at a peer.")
        .Add();
  }
}

// The topics are read beside each other: the configuration is large, and a
// leaving instance must not wait for it.
void store_watch::CatchUp(const peer_ahead& peer) {
  const millis now = boot_clock::Now();
  for (followed_topic* topic : {&config_, &instances_}) {
    const topic_position position = PositionOf(peer, *topic);
    if (position <= PositionIn(*topic)) {
      continue;
    }
    topic->lag.NoteAnnounced(position, now);
    // While this node waits for its turn, the last peer that has the records is
    // the one to read: it has had the fewest readers.
    if (!topic->is_catching_up || !peer.is_other_zone ||
        topic->source.is_other_zone) {
      topic->source = peer;
    }
    if (!peer.is_other_zone) {
      topic->own_zone_wait.cancel();
    }
    if (!topic->is_catching_up) {
      topic->is_catching_up = true;
      Spawn([topic](store_watch& watch) { return watch.CatchUpTopic(*topic); });
    }
  }
}

awaitable<void> store_watch::WaitForTurn(followed_topic& topic) {
  if (topic.source.is_other_zone) {
    boost::system::error_code cancelled;  // a peer of this zone has them
    topic.own_zone_wait.expires_after(ToChrono(kOtherZoneDelay));
    co_await topic.own_zone_wait.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
  const auto spread = static_cast<uint64_t>(
      (kCatchUpSpreadPerNode * node_->live_nodes_in_zone).count());
  co_await Sleep(node_->context.get_executor(),
                 millis(static_cast<int64_t>(node_->random.Below(spread + 1))));
}

// Traffic between zones costs money, so a node waits for the readers of its own
// zone before it reads from another. A restarted node has callers that wait.
awaitable<void> store_watch::CatchUpTopic(followed_topic& topic) {
  const asio::any_io_executor executor = node_->context.get_executor();
  const std::shared_ptr<void> in_progress(
      nullptr, [&topic](void*) { topic.is_catching_up = false; });
  if (node_->HasRecords() || node_->settings.is_first_start) {
    co_await WaitForTurn(topic);
  }
  const peer_ahead peer = topic.source;
  const topic_position position = PositionOf(peer, topic);
  const endpoint remote{peer.address, node_->settings.control.port};
  if (position > PositionIn(topic)) {
    co_await ReadFromPeer(topic, remote);
    NoteCaughtUp(topic, position);
  }
  co_await Sleep(executor, kCatchUpPause);
}

}  // namespace peridotarch
