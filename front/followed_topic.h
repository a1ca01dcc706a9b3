#ifndef FRONT_FOLLOWED_TOPIC_H_
#define FRONT_FOLLOWED_TOPIC_H_

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string_view>

#include "balance/read_schedule.h"
#include "balance/record_lag.h"
#include "front/front_node.h"
#include "front/peer_ahead.h"
#include "platform/store_client.h"

namespace peridotarch {

/// Source of records in log lines: the store itself, not a peer.
inline constexpr std::string_view kSourceStore = "store";
/// Pause after a failed call. Even a refused one costs money.
inline constexpr millis kStoreRetryDelay(900);

/// How far a node follows one topic of the store, and how it reads it.
struct followed_topic {
  /// `pause` follows a read of the store that has brought records.
  followed_topic(front_node& node, std::string_view topic, millis pause)
      : name(topic),
        schedule(pause),
        client(node.context.get_executor(),
               {node.settings.store.host, node.settings.store.port},
               record_server::kStore),
        own_zone_wait(node.context),
        takeover_wait(node.context) {}

  const std::string_view name;
  read_schedule schedule;
  store_client client;
  std::optional<record_offset> next_offset;  ///< Where to read on.
  record_lag lag;
  bool reached = true;          ///< The last read as a reader succeeded.
  bool is_catching_up = false;  ///< A read at a peer is in progress.
  peer_ahead source;            ///< The peer to catch up with.
  /// Runs while this node waits for a reader of its own zone.
  boost::asio::steady_timer own_zone_wait;
  /// Runs while this node leaves the reads to others.
  boost::asio::steady_timer takeover_wait;
};

}  // namespace peridotarch

#endif  // FRONT_FOLLOWED_TOPIC_H_
