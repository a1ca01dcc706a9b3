// When this node reads the store for others, and what it tells them of that.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "front/store_watch.h"
#include "platform/to_chrono.h"

namespace peridotarch {

namespace asio = boost::asio;

// Other nodes rely on what this node says until it takes it back, so it does
// that as soon as one of its reads has failed.
void store_watch::UpdateReaderClaim() {
  const bool reads_store = config_.schedule.is_current() &&
                           instances_.schedule.is_current() &&
                           node_->must_read_store();
  if (reads_store == node_->reads_store) {
    return;
  }
  node_->reads_store = reads_store;
  node_->log.Write("store_reader", {{"reads", reads_store}});
  node_->on_load_change(load_change::kReaderChanged, 0);
}

void store_watch::NoteTakeover() {
  if (!is_delegating_) {
    return;
  }
  is_delegating_ = false;
  node_->counters
      .Counter("store_takeovers_total",
               "Times that the node began to read the store for others.")
      .Add();
  node_->log.Write("store_takeover",
                   {{"live_in_zone", node_->live_nodes_in_zone}});
}

awaitable<void> store_watch::WaitForDuty(followed_topic& topic) {
  is_delegating_ = !IsReader();
  topic.schedule.NoteDelegated();
  UpdateReaderClaim();
  if (!IsConfig(topic)) {
    PublishInstances(kSourceStore);  // removals that were pending
  }
  boost::system::error_code cancelled;  // by WakeReaders
  topic.takeover_wait.expires_after(ToChrono(DelegationPollInterval(topic)));
  co_await topic.takeover_wait.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
}

void store_watch::WakeReaders() {
  config_.takeover_wait.cancel();
  instances_.takeover_wait.cancel();
}

}  // namespace peridotarch
