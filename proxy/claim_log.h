#ifndef PROXY_CLAIM_LOG_H_
#define PROXY_CLAIM_LOG_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "platform/awaitable.h"
#include "platform/endpoint.h"
#include "platform/http_log.h"
#include "proxy/executor.h"
#include "proxy/wait_cell.h"
#include "request/claimer.h"

namespace peridotarch {

/// The claims of one service's keys: drives a claimer with the platform's log.
/// Its methods may be called on any thread.
class claim_log : public std::enable_shared_from_this<claim_log> {
 public:
  /// `writer` is unique for each start of a process.
  claim_log(boost::asio::io_context& context, const endpoint& log,
            const std::string& service, uint64_t writer);

  /// Starts to read the service's stream.
  void Start();

  /// Claims a key; `left` is the time until the caller's deadline.
  awaitable<claim_outcome> Claim(request_key key, millis left);

  /// Returns whether the submission still holds its key.
  awaitable<bool> Holds(uint64_t submission);

  /// The holder ran the key, has not run it, or may have run it.
  void Complete(uint64_t submission, int status);
  void Release(uint64_t submission);
  void MarkUnknown(uint64_t submission);

 private:
  awaitable<claim_outcome> ClaimHere(request_key key, millis left);
  awaitable<bool> HoldsHere(uint64_t submission);
  awaitable<void> ReadStream();
  awaitable<void> TickRegularly();
  awaitable<void> Append(std::string record);
  void Pump();

  strand strand_;
  http_log log_;
  const std::string stream_;
  claimer claimer_;
  std::unordered_map<uint64_t, wait_cell<claim_outcome>> waiting_;
};

}  // namespace peridotarch

#endif  // PROXY_CLAIM_LOG_H_
