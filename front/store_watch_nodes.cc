// The records by which the nodes of the fleet find each other.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "front/store_watch.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

// A store is restored from a copy that is some seconds old, and a node that
// does not read it hears of that with the next change of an instance.
constexpr millis kMaxCopyAge(600'000);
constexpr millis kRenewalSpread(1'500);

}  // namespace

// Returns whether the record of this node is among them.
awaitable<bool> store_watch::ListNodes(const node_record& self) {
  const keyed_page page =
      co_await node_client_.Newest(kNodeTopic, kStoreCallTimeout);
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
    node_->nodes_listed = true;
  }
  co_return found_self;
}

node_record store_watch::OwnRecord() const {
  node_record self;
  self.node = node_->settings.node;
  self.peer = {node_->settings.callers.host, node_->settings.peer_port};
  return self;
}

// Only what was written shortly before the restore is lost. The nodes write at
// different moments.
awaitable<void> store_watch::RenewOwnRecord() {
  const millis now = boot_clock::Now();
  if (!announced_at_ || now - *announced_at_ > kMaxCopyAge) {
    co_return;
  }
  const asio::any_io_executor executor = node_->context.get_executor();
  co_await Sleep(executor, node_->Jitter(kRenewalSpread));
  const node_record self = OwnRecord();
  for (;;) {
    std::string failed;
    try {
      co_await node_client_.Put(kNodeTopic, self.node, Encode(self),
                                kStoreCallTimeout);
      announced_at_ = boot_clock::Now();
      co_return;
    } catch (const platform_error& failure) {
      failed = failure.what();
    }
    node_->log.Write("announce_failed", {{"error", failed}});
    co_await Sleep(executor, kStoreRetryDelay);
  }
}

// A node that restarts finds its record in the store and does not write it
// again. One that writes it reads the records of the others after that. If two
// nodes start together, at least one of them therefore finds the record of the
// other, which then learns of the first node from its load reports.
awaitable<void> store_watch::Announce() {
  const asio::any_io_executor executor = node_->context.get_executor();
  const node_record self = OwnRecord();
  const std::string value = Encode(self);
  bool must_write = node_->settings.is_first_start;
  bool is_written = false;
  for (;;) {
    std::string failed;
    try {
      if (must_write && !is_written) {
        co_await node_client_.Put(kNodeTopic, self.node, value,
                                  std::max(kStoreCallTimeout, MaxListTime()));
        is_written = true;
        announced_at_ = boot_clock::Now();
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
    co_await Sleep(executor, kStoreRetryDelay);
  }
}

}  // namespace peridotarch
