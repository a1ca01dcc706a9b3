#ifndef FRONT_FRESHNESS_EXCHANGE_H_
#define FRONT_FRESHNESS_EXCHANGE_H_

#include <memory>
#include <string>
#include <string_view>

#include "front/front_node.h"
#include "platform/awaitable.h"
#include "teams/freshness_queries.h"

namespace peridotarch {

/// Keeps the proof young that this node's configuration is the newest one, by
/// questions to peers, and answers those of peers.
class freshness_exchange
    : public std::enable_shared_from_this<freshness_exchange> {
 public:
  explicit freshness_exchange(std::shared_ptr<front_node> node)
      : node_(std::move(node)) {}

  /// Starts to ask and to answer where proofs are needed.
  void Start();

 private:
  awaitable<void> AskPeers();
  /// Returns how long to wait before the next look.
  millis AskIfDue(millis now);
  void SendQuery(const std::string& peer, millis now);
  void HandleQuery(const std::string& sender, std::string_view payload);
  void HandleReply(std::string_view payload);
  void LogChange(millis now);

  const std::shared_ptr<front_node> node_;
  freshness_queries queries_;
  millis replied_at_;   ///< When the last reply that counted arrived.
  int unanswered_ = 0;  ///< Queries since then.
  bool was_fresh_ = false;
};

}  // namespace peridotarch

#endif  // FRONT_FRESHNESS_EXCHANGE_H_
