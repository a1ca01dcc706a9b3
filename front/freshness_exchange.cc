#include "front/freshness_exchange.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace {

constexpr millis kQueryInterval(700);
constexpr millis kReplyTimeout(300);
constexpr millis kStartupInterval(20);  // until there is a first proof
constexpr int kMaxStartupQueries = 10;
// A node that reads the store has a proof each time, at most this old.
constexpr millis kMaxReaderAge(2'200);

}  // namespace

void freshness_exchange::Start() {
  if (!node_->freshness.is_required()) {
    return;
  }
  const std::weak_ptr<freshness_exchange> weak = weak_from_this();
  node_->peers.handlers[peer_message_kind::kFreshnessQuery] =
      [weak](const std::string& sender, std::string_view payload) {
        if (const auto self = weak.lock()) {
          self->HandleQuery(sender, payload);
        }
      };
  node_->peers.handlers[peer_message_kind::kFreshnessReply] =
      [weak](const std::string& /*sender*/, std::string_view payload) {
        if (const auto self = weak.lock()) {
          self->HandleReply(payload);
        }
      };
  // The coroutine keeps this object alive until the loop has ended.
  SpawnLoop(node_->context, "freshness",
            [self = shared_from_this()]() { return self->AskPeers(); });
}

awaitable<void> freshness_exchange::AskPeers() {
  const auto executor = node_->context.get_executor();
  for (;;) {
    const millis pause = AskIfDue(boot_clock::Now());
    LogChange(boot_clock::Now());
    co_await Sleep(executor, pause);
  }
}

// Nodes that read the store answer first. If none does, any live node may have
// a younger proof: the store may refuse its usual readers and serve others.
millis freshness_exchange::AskIfDue(millis now) {
  if (!node_->routes.Load()) {
    return kStartupInterval;
  }
  const std::optional<millis> age = node_->freshness.AgeAt(now);
  const bool has_own_proof =
      age && *age < kMaxReaderAge && node_->must_read_store();
  if (age && (has_own_proof || now - replied_at_ < kQueryInterval)) {
    return kReplyTimeout;
  }
  constexpr int kFirstTries = 2;
  const std::optional<std::string> reader = node_->find_store_reader();
  const bool asks_any =
      !reader || unanswered_ % (kFirstTries + 1) == kFirstTries;
  const std::optional<std::string> peer =
      asks_any ? node_->peers.find_any() : reader;
  if (peer) {
    ++unanswered_;
    SendQuery(*peer, now);
  }
  const bool is_starting = !age && unanswered_ <= kMaxStartupQueries;
  return is_starting ? kStartupInterval : kReplyTimeout;
}

void freshness_exchange::SendQuery(const std::string& peer, millis now) {
  const uint64_t nonce = node_->random();
  queries_.NoteSent(nonce, now);
  node_->peers.send(peer, peer_message_kind::kFreshnessQuery,
                    EncodeFreshnessQuery(nonce));
}

void freshness_exchange::HandleQuery(const std::string& sender,
                                     std::string_view payload) {
  const uint64_t nonce = DecodeFreshnessQuery(payload);
  const millis now = boot_clock::Now();
  const std::optional<millis> age = node_->freshness.AgeAt(now);
  if (age && node_->freshness.IsFresh(now)) {
    node_->peers.send(
        sender, peer_message_kind::kFreshnessReply,
        Encode(freshness_reply{nonce, node_->ConfigVersion(), *age}));
  }
}

void freshness_exchange::HandleReply(std::string_view payload) {
  const freshness_reply reply = DecodeFreshnessReply(payload);
  const std::optional<millis> proved_at = queries_.ProvedAt(reply);
  if (!proved_at || node_->IsBehindPeers()) {
    return;
  }
  node_->freshness.NoteProof(*proved_at, reply.version, node_->ConfigVersion());
  replied_at_ = boot_clock::Now();
  unanswered_ = 0;
  LogChange(replied_at_);
}

void freshness_exchange::LogChange(millis now) {
  const std::optional<millis> age = node_->freshness.AgeAt(now);
  node_->counters
      .Gauge("config_proof_age_milliseconds",
             "Age of the proof that the configuration is the newest; -1: none.")
      .Set(age ? age->count() : -1);
  const bool is_fresh = node_->freshness.IsFresh(now);
  if (is_fresh != was_fresh_) {
    was_fresh_ = is_fresh;
    node_->log.Write(is_fresh ? "config_fresh" : "config_outdated",
                     {{"version", node_->ConfigVersion().value()},
                      {"proof_age_ms", age ? age->count() : -1}});
  }
}

}  // namespace peridotarch
