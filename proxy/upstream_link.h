#ifndef PROXY_UPSTREAM_LINK_H_
#define PROXY_UPSTREAM_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/millis.h"
#include "platform/awaitable.h"
#include "platform/host.h"
#include "platform/http_client.h"
#include "request/attempt.h"

namespace peridotarch {

/// How an attempt ended and, if whole, the upstream's answer.
struct attempt_result {
  attempt_summary end;
  http_response answer;
  bool draining = false;  ///< The instance says that it takes no new work.
};

/// The connections to one instance. A connection carries one exchange at a
/// time and is kept only after a whole answer that left no byte over. All
/// calls run on the strand of the instance's shard.
class upstream_link {
 public:
  upstream_link(boost::asio::any_io_executor strand, host where);
  ~upstream_link();

  /// Sends one attempt and reads its whole answer, within `timeout`.
  awaitable<attempt_result> Send(const http_request& request, millis timeout);

  /// Asks the instance to cancel an attempt.
  awaitable<cancel_answer> Cancel(std::string attempt, millis timeout);

  /// Asks the health endpoint; returns whether it answered that it is well.
  awaitable<bool> Probe(millis timeout);

  [[nodiscard]] const host& where() const { return where_; }

 private:
  struct connection;

  std::unique_ptr<connection> TakeIdle();

  boost::asio::any_io_executor strand_;
  host where_;
  std::vector<std::unique_ptr<connection>> idle_;
};

}  // namespace peridotarch

#endif  // PROXY_UPSTREAM_LINK_H_
