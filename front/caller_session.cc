#include "front/caller_session.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/narrow.h"
#include "front/caller_request.h"
#include "front/pipelined_request.h"
#include "platform/answer_framing.h"
#include "platform/call_wire.h"
#include "platform/quiet.h"
#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Added to the idle timeout that callers rely on.
constexpr millis kIdleMargin(2'000);
constexpr millis kBodyTimeout(15'000);
// Limits of one connection: they bound its memory and the slots that one caller
// takes from others.
constexpr size_t kMaxQueued = 8;
constexpr int kMaxServedAtOnce = 4;
constexpr millis kMemoryRetryAfter(500);
constexpr millis kContinuePollInterval(30);
constexpr size_t kMaxUnwrittenBytes = 1 << 20;  // of answers to slow readers

}  // namespace

caller_session::caller_session(std::shared_ptr<front_node> node,
                               boost::beast::tcp_stream stream)
    : node_(std::move(node)),
      session_(std::move(stream)),
      queue_changed_(node_->context, asio::steady_timer::time_point::max()),
      idle_since_(boot_clock::Now()) {
  node_->sessions.insert(this);
  session_.SetContinueGate([this] { return WaitToContinue(); });
}

caller_session::~caller_session() { node_->sessions.erase(this); }

void caller_session::CloseIfIdle() {
  if (is_waiting_for_request_ && queue_.empty()) {
    reads_more_ = false;
    session_.stream().close();
  }
}

void caller_session::CloseIfIdleTooLong(millis now) {
  if (now - idle_since_ > MakeReadLimits().idle) {
    CloseIfIdle();
  }
}

read_limits caller_session::MakeReadLimits() const {
  read_limits limits;
  caller_limits configured;
  if (const auto routes = node_->routes.Load()) {
    configured = routes->config().limits;
  }
  limits.idle = configured.idle_timeout + kIdleMargin;
  limits.head_timeout = configured.header_timeout;
  limits.body_timeout = kBodyTimeout;
  limits.header_bytes = Clamped<uint32_t>(configured.header_bytes);
  limits.body_bytes = configured.body_bytes;
  return limits;
}

bool caller_session::IsIdempotent(const block_request& request) const {
  const auto routes = node_->routes.Load();
  const host_route* route =
      routes ? routes->Find(request[boost::beast::http::field::host],
                            request.target())
             : nullptr;
  return route != nullptr && route->idempotent;
}

awaitable<void> caller_session::WaitForRoom() {
  while (queue_.size() >= kMaxQueued) {
    error_code changed;
    co_await queue_changed_.async_wait(
        asio::redirect_error(asio::use_awaitable, changed));
  }
}

// Reads while requests are served, which also detects that the caller has
// closed the connection. Behind a request that closes the connection, bytes are
// dropped: they count as not read.
awaitable<void> caller_session::ReadRequests() {
  while (reads_more_) {
    co_await WaitForRoom();
    if (!reads_more_) {
      break;
    }
    is_waiting_for_request_ = true;
    const bool has_bytes = co_await session_.WaitForBytes();
    is_waiting_for_request_ = false;
    // The connection may have been closed after the bytes were read and before
    // this coroutine resumed. The caller can no longer be answered, so the
    // request is not sent to an instance.
    if (!reads_more_) {
      break;
    }
    block_read_outcome read;
    if (has_bytes) {
      auto memory = ReserveRequest();
      read =
          co_await session_.ReadInBlocks(MakeReadLimits(), std::move(memory));
    }
    if (!reads_more_) {
      break;
    }
    if (read.request) {
      Enqueue(std::move(*read.request), read.arrived_at);
    } else if (read.refused) {
      EnqueueRefusal(*read.refused, read.method);
    } else {
      OnCallerLeft();
      co_return;
    }
  }
  while (!queue_.empty() && !is_receive_shut_) {
    if (!co_await session_.DiscardBytes()) {
      OnCallerLeft();
      co_return;
    }
  }
}

// A node that is shutting down closes the connection after the answers to the
// requests it has read, so it stops reading behind an unanswered request.
void caller_session::Enqueue(block_request request, millis arrived_at) {
  const auto one = std::make_shared<pipelined_request>();
  one->keep_alive = request.keep_alive();
  one->is_idempotent = IsIdempotent(request);
  one->request = std::move(request);
  one->state.arrived_at = arrived_at;
  one->state.queued_behind = static_cast<int>(queue_.size());
  reads_more_ = one->keep_alive && !(node_->draining && !queue_.empty());
  queue_.push_back(one);
  ++node_->in_flight;
  StartRequests();
}

void caller_session::EnqueueRefusal(reason why,
                                    boost::beast::http::verb method) {
  const bool is_memory_short = why == reason::kMemoryShort;
  const millis retry_after =
      is_memory_short ? node_->Jitter(kMemoryRetryAfter) : millis(0);
  if (is_memory_short) {
    node_->OnRequestEnded();
  }
  node_->CountAnswer(why, millis(0));
  const auto one = std::make_shared<pipelined_request>();
  one->is_started = true;
  one->keep_alive = false;
  one->answer = OwnAnswer(ReplyFor(why).status, "", std::string(ToName(why)),
                          retry_after);
  RemoveBodyFor(method, *one->answer);
  reads_more_ = false;
  queue_.push_back(one);
  ++node_->in_flight;
  WriteReadyAnswers();
}

// The client may send the body without being told to. Nothing is read
// meanwhile, so the socket shows whether it has, or has left.
awaitable<http_session::continue_step> caller_session::WaitToContinue() {
  while (!queue_.empty() && reads_more_) {
    if (!IsQuiet(session_.stream().socket().native_handle())) {
      co_return http_session::continue_step::kOmit;
    }
    co_await Sleep(node_->context.get_executor(), kContinuePollInterval);
  }
  co_return reads_more_ ? http_session::continue_step::kWrite
                        : http_session::continue_step::kStop;
}

std::shared_ptr<memory_reservation> caller_session::ReserveRequest() {
  return std::make_shared<memory_reservation>(
      node_->memory, memory_kind::kRequest, [this] { AbortRead(); },
      boot_clock::Now());
}

// Cancelling the operations of a stream would also break off the answer that is
// being written.
void caller_session::AbortRead() {
  if (!is_writing_) {
    session_.stream().cancel();
    return;
  }
  error_code ignored;
  session_.stream().socket().shutdown(asio::ip::tcp::socket::shutdown_receive,
                                      ignored);
  is_receive_shut_ = true;
}

// A request that must not run twice waits for the answers to those before it,
// and those behind it wait for its answer: if the connection ends, the caller
// then knows which of them may have run.
void caller_session::StartRequests() {
  int served_now = 0;
  size_t unwritten_bytes = 0;
  // A request that is refused ends at once, which changes the queue.
  const auto pending = queue_;
  for (const auto& one : pending) {
    const bool is_first = one == pending.front();
    if (!one->is_started) {
      if ((!is_first && !one->is_idempotent) ||
          served_now >= kMaxServedAtOnce ||
          unwritten_bytes > kMaxUnwrittenBytes) {
        return;
      }
      one->is_started = true;
      SpawnLogged(
          node_->context, "request",
          [self = shared_from_this(), one]() { return self->ServeOne(one); });
    }
    if (!one->is_idempotent) {
      return;
    }
    served_now += one->answer ? 0 : 1;
    unwritten_bytes += one->answer ? one->answer->body().size() : 0;
  }
}

awaitable<void> caller_session::ServeOne(
    std::shared_ptr<pipelined_request> one) {
  const auto method = one->request.method();
  one->answer =
      co_await ServeRequest(*node_, std::move(one->request), one->state);
  RemoveBodyFor(method, *one->answer);
  StartRequests();
  WriteReadyAnswers();
}

void caller_session::WriteReadyAnswers() {
  if (!is_writing_ && !queue_.empty() && queue_.front()->answer) {
    is_writing_ = true;
    SpawnLogged(node_->context, "answers",
                [self = shared_from_this()]() { return self->WriteAnswers(); });
  }
}

// Once it is decided that an answer closes the connection, no request behind it
// is taken any more, also while the answer is being written.
awaitable<void> caller_session::WriteAnswers() {
  while (!queue_.empty() && queue_.front()->answer) {
    const auto one = queue_.front();
    const bool is_last = queue_.size() == 1;
    const bool keep_alive =
        one->keep_alive && !(is_last && (node_->draining || !reads_more_));
    reads_more_ = reads_more_ && keep_alive;
    OnAnswerWritten(
        co_await session_.Write(std::move(*one->answer), keep_alive));
  }
  is_writing_ = false;
}

void caller_session::OnAnswerWritten(bool stays_open) {
  queue_.pop_front();
  --node_->in_flight;
  if (!stays_open) {
    OnCallerLeft();
    session_.stream().cancel();  // ends ReadRequests
  }
  StartRequests();
  idle_since_ = boot_clock::Now();
  queue_changed_.cancel();
}

// Requests that were not started are dropped: they count as not read.
void caller_session::OnCallerLeft() {
  reads_more_ = false;
  for (const auto& one : queue_) {
    one->state.OnCallerLeft();
  }
  std::erase_if(queue_, [this](const auto& one) {
    node_->in_flight -= one->is_started ? 0 : 1;
    return !one->is_started;
  });
  queue_changed_.cancel();
}

awaitable<void> caller_session::Serve() {
  co_await ReadRequests();
  while (!queue_.empty()) {
    error_code changed;
    co_await queue_changed_.async_wait(
        asio::redirect_error(asio::use_awaitable, changed));
  }
  co_await session_.CloseAfterDelivery();
}

awaitable<void> ServeCallerConnection(std::shared_ptr<front_node> node,
                                      boost::beast::tcp_stream stream) {
  if (!node->MakeRoomForCaller()) {
    stream.close();
    co_return;
  }
  const auto session =
      std::make_shared<caller_session>(std::move(node), std::move(stream));
  co_await session->Serve();
}

}  // namespace peridotarch
