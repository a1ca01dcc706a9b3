#ifndef FRONT_CONNECTION_POOL_H_
#define FRONT_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance/answer_notice.h"
#include "balance/instance.h"
#include "core/host_port.h"
#include "core/millis.h"
#include "memory/memory_budget.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/http_client.h"
#include "request/attempt.h"

namespace peridotarch {

class instance_connection;

/// Lets another coroutine cancel an exchange.
struct exchange_control {
  std::shared_ptr<instance_connection> connection;
  bool cancelled = false;

  /// Closes the connection, so that the instance drops the request.
  void Cancel();
  /// Returns whether a part of the request may have been sent.
  [[nodiscard]] bool HasStartedSending() const;
};

/// One request to an instance.
struct exchange_params {
  instance_entry instance;
  block_request request;
  std::string id;        ///< Request id, which the answer must carry.
  millis work_until;     ///< When the instance stops work, by the boot clock.
  millis time_left;      ///< A later answer is of no use.
  millis max_idle_time;  ///< A connection idle for longer is not reused.
  uint64_t expected_bytes = 0;  ///< Of the answer, as far as known.
};

/// How an exchange ended.
struct exchange_result {
  attempt_summary summary;
  http_response answer;      ///< Set if `summary` says answered.
  bool reused = false;       ///< The connection had carried a request before.
  int idle_connections = 0;  ///< To the instance, after the exchange.
  /// Nothing was sent, as the instance takes no requests any more.
  bool withdrawn = false;
  /// Keeps the part of the answer in the node's memory.
  std::shared_ptr<memory_reservation> reservation;
};

/// Keep-alive connections to instances. Each carries one request at a time.
class connection_pool {
 public:
  /// Answers count for `memory`.
  connection_pool(boost::asio::io_context& context,
                  std::shared_ptr<memory_budget> memory);
  ~connection_pool();

  /// Sends a request and reads its whole answer. Drops late answers to other
  /// requests on the connection, up to a limit.
  awaitable<exchange_result> Exchange(exchange_params params,
                                      exchange_control& control);

  /// Closes connections that have been idle for too long.
  void CloseIdle(millis now);
  /// Closes all idle connections to the instance.
  void CloseIdleTo(const instance_entry& instance);

  /// Called with each head of an answer that the instance sends, before the
  /// rest of the answer is read.
  std::function<void(const instance_entry&, const answer_notice&)> on_notice =
      [](const instance_entry&, const answer_notice&) {};
  /// Called when the body of an answer is dropped for want of memory.
  std::function<void(const instance_entry&)> on_body_dropped =
      [](const instance_entry&) {};
  /// Returns whether the instance still takes requests; asked before each
  /// write.
  std::function<bool(const instance_entry&)> may_send =
      [](const instance_entry&) { return true; };

 private:
  using connection_ptr = std::shared_ptr<instance_connection>;

  connection_ptr TakeIdle(const instance_entry& instance, millis max_idle_time);
  /// Returns how many idle connections to the instance are kept.
  int KeepIdle(const instance_entry& instance, connection_ptr connection);

  boost::asio::io_context& context_;
  std::unordered_map<std::string, std::vector<connection_ptr>> idle_;
  const std::shared_ptr<memory_budget> memory_;
};

}  // namespace peridotarch

#endif  // FRONT_CONNECTION_POOL_H_
