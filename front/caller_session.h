#ifndef FRONT_CALLER_SESSION_H_
#define FRONT_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <memory>

#include "front/front_node.h"
#include "platform/awaitable.h"
#include "proxy/http_session.h"

namespace peridotarch {

struct pipelined_request;

/// One accepted connection of a caller. Answers its requests in the order in
/// which they were sent; pipelined idempotent requests are served at the same
/// time.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(std::shared_ptr<front_node> node,
                 boost::beast::tcp_stream stream);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  /// Serves until the connection ends.
  awaitable<void> Serve();

  /// Returns whether no request is being read or served.
  [[nodiscard]] bool IsIdle() const {
    return reads_more_ && is_waiting_for_request_ && queue_.empty();
  }
  [[nodiscard]] millis idle_since() const { return idle_since_; }
  /// Closes the connection if no request is being read or served.
  void CloseIfIdle();
  /// Closes the connection if it has been idle for longer than its limit.
  void CloseIfIdleTooLong(millis now);

 private:
  awaitable<void> ReadRequests();
  awaitable<void> WaitForRoom();
  void Enqueue(block_request request, millis arrived_at);
  void EnqueueRefusal(reason why, boost::beast::http::verb method);
  /// Waits until the answers before a request that expects 100 (Continue) are
  /// written.
  awaitable<http_session::continue_step> WaitToContinue();
  /// Returns the part of the next request in the node's memory.
  std::shared_ptr<memory_reservation> ReserveRequest();
  /// Ends the read of a request for which there is no memory.
  void AbortRead();
  /// Starts the requests that may be served now.
  void StartRequests();
  awaitable<void> ServeOne(std::shared_ptr<pipelined_request> one);
  void WriteReadyAnswers();
  awaitable<void> WriteAnswers();
  void OnAnswerWritten(bool stays_open);
  /// The caller can no longer be answered.
  void OnCallerLeft();
  [[nodiscard]] bool IsIdempotent(const block_request& request) const;
  [[nodiscard]] read_limits MakeReadLimits() const;

  const std::shared_ptr<front_node> node_;
  http_session session_;
  /// The requests that were read and whose answers are not written yet.
  std::deque<std::shared_ptr<pipelined_request>> queue_;
  boost::asio::steady_timer queue_changed_;  ///< Cancelled at each change.
  millis idle_since_;
  bool is_waiting_for_request_ = true;  ///< No byte of a request was read.
  bool is_writing_ = false;
  bool reads_more_ = true;        ///< Further requests are read.
  bool is_receive_shut_ = false;  ///< By this node.
};

/// Serves one accepted connection.
awaitable<void> ServeCallerConnection(std::shared_ptr<front_node> node,
                                      boost::beast::tcp_stream stream);

}  // namespace peridotarch

#endif  // FRONT_CALLER_SESSION_H_
