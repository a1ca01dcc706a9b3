#ifndef FRONT_CONNECTION_POOL_H_
#define FRONT_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance/instance.h"
#include "core/host_port.h"
#include "core/millis.h"
#include "platform/awaitable.h"
#include "platform/http_client.h"
#include "request/attempt.h"

namespace peridotarch {

class instance_connection;

/// Lets another coroutine end an exchange.
struct exchange_control {
  std::shared_ptr<instance_connection> connection;
  bool cancelled = false;

  /// Closes the connection, so that the instance drops the request.
  void Cancel();
  /// Returns whether a part of the request may have left.
  [[nodiscard]] bool HasStartedSending() const;
};

/// One request to an instance.
struct exchange_params {
  instance_entry instance;
  http_request request;
  std::string id;    ///< The answer must carry it.
  millis time_left;  ///< Until the answer is of no more use.
  millis max_idle;   ///< A kept connection idle for longer is not used.
};

/// How an exchange ended.
struct exchange_result {
  attempt_summary end;
  http_response answer;  ///< When `end` says answered.
  bool reused = false;   ///< Went on a kept connection.
};

/// Kept connections to instances; each carries one request at a time.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& context);
  ~connection_pool();

  /// Sends a request and reads the whole answer to it. Answers to other
  /// requests that arrive late on the connection are dropped.
  awaitable<exchange_result> Exchange(exchange_params order,
                                      exchange_control& handle);

  /// Closes connections that have been idle for too long.
  void CloseIdle(millis now);

 private:
  using connection_ptr = std::shared_ptr<instance_connection>;

  connection_ptr TakeIdle(const instance_entry& instance, millis max_idle);
  void Keep(const instance_entry& instance, connection_ptr connection);

  boost::asio::io_context& context_;
  std::unordered_map<std::string, std::vector<connection_ptr>> idle_;
};

}  // namespace peridotarch

#endif  // FRONT_CONNECTION_POOL_H_
