#ifndef PROXY_PEER_H_
#define PROXY_PEER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/millis.h"
#include "inner/forwarded_call.h"
#include "memory/memory_budget.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/endpoint.h"
#include "platform/inner_client.h"
#include "proxy/call.h"
#include "proxy/executor.h"

namespace peridotarch {

/// Another proxy, with the idle connections to its inner port. Safe on any
/// thread; its lock is held only while a connection is taken or put back.
class peer {
 public:
  /// Answers count for `memory`.
  peer(boost::asio::io_context& context, std::string id, endpoint inner,
       std::string fleet_key, std::shared_ptr<memory_budget> memory);
  ~peer();

  /// Forwards a request to this node as the owner of the call's shard.
  awaitable<call_result> Forward(forwarded_call call, block_request request);

  /// Sends one JSON-RPC request; throws platform_error.
  awaitable<std::string> CallRpc(std::string json, millis timeout);

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const endpoint& inner() const { return inner_; }

 private:
  struct link;

  std::shared_ptr<link> Take();
  std::shared_ptr<memory_reservation> ReserveAnswer(
      const std::shared_ptr<link>& used) const;
  void PutBack(std::shared_ptr<link> used);

  boost::asio::io_context& context_;
  const std::string id_;
  const endpoint inner_;
  const std::string fleet_key_;
  const std::shared_ptr<memory_budget> memory_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<link>> idle_;
};

}  // namespace peridotarch

#endif  // PROXY_PEER_H_
