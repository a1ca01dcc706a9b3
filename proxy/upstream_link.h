#ifndef PROXY_UPSTREAM_LINK_H_
#define PROXY_UPSTREAM_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/millis.h"
#include "memory/memory_budget.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/host.h"
#include "platform/http_client.h"
#include "request/attempt.h"

namespace peridotarch {

/// How an attempt ended and, if whole, the upstream's answer.
struct attempt_result {
  attempt_summary end;
  http_response answer;
  bool draining = false;      ///< The instance says that it takes no new work.
  bool memory_short = false;  ///< The answer was dropped for want of memory.
  /// The part of `answer` in the node's memory.
  std::shared_ptr<memory_reservation> answer_memory;
};

/// The connections to one instance. A connection carries one exchange at a
/// time and is kept only after a whole answer that left no byte over. All
/// calls run on the strand of the instance's shard.
class upstream_link {
 public:
  /// Answers count for `memory`.
  upstream_link(boost::asio::any_io_executor strand, host where,
                std::shared_ptr<memory_budget> memory);
  ~upstream_link();

  /// Sends one attempt and reads its whole answer, within `timeout`. The answer
  /// is expected to have `expected_bytes`, 0 if not known.
  awaitable<attempt_result> Send(const block_request& request, millis timeout,
                                 uint64_t expected_bytes = 0);

  /// Asks the instance to cancel an attempt.
  awaitable<cancel_answer> Cancel(std::string attempt, millis timeout);

  /// Asks the health endpoint; returns whether it answered that it is well.
  awaitable<bool> Probe(millis timeout);

  [[nodiscard]] const host& where() const { return where_; }

 private:
  struct connection;

  std::shared_ptr<connection> TakeIdle();
  std::shared_ptr<memory_reservation> ReserveAnswer(
      const std::shared_ptr<connection>& used) const;

  boost::asio::any_io_executor strand_;
  host where_;
  const std::shared_ptr<memory_budget> memory_;
  std::vector<std::shared_ptr<connection>> idle_;
};

}  // namespace peridotarch

#endif  // PROXY_UPSTREAM_LINK_H_
