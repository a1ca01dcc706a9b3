#include "front/connection_pool.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "balance/answer_classification.h"
#include "front/instance_connection.h"
#include "platform/answer_body.h"
#include "platform/answer_framing.h"
#include "platform/answer_head.h"
#include "platform/call_wire.h"
#include "platform/connection_state.h"
#include "platform/quiet.h"
#include "platform/to_chrono.h"
#include "proxy/connect.h"
#include "proxy/exchange_ending.h"
#include "proxy/executor.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Connecting within a zone takes 1 ms. The first retransmission of a lost SYN
// comes after 1 s, too late for most requests.
constexpr millis kConnectTimeout(300);
constexpr millis kDefaultIdleTimeout(4'000);
constexpr millis kIdleCloseMargin(1'000);  // before the instance closes
constexpr size_t kMaxIdlePerInstance = 4;
constexpr answer_limits kAnswerLimits = {64 << 10, 16 << 20};
constexpr int kMaxStrayAnswers = 3;
// An instance that has closed its connection resets it when it gets more of the
// request, a round trip later.
constexpr millis kResetWait(200);
constexpr millis kResetCheckInterval(5);

// An instance that breaks off in the body of a rejection and answers all the
// same has run the request. The rejection then ends within the second answer.
bool IsDoubtfulRejection(const http_response& answer,
                         const beast::flat_buffer& following) {
  const std::string_view bytes(
      static_cast<const char*>(following.data().data()), following.size());
  return ClassifyAnswer(ReadFacts(answer)).run_verdict == verdict::kNotRun &&
         HasJoinedBody(answer, bytes);
}

std::string ConnectionKey(const instance_entry& instance) {
  return instance.address + ':' + std::to_string(instance.port) + '/' +
         instance.id;
}

// Returns the idle timeout that the Keep-Alive header announces as "timeout=N",
// in whole seconds.
millis IdleTimeout(const http_response& answer) {
  constexpr std::string_view kName = "timeout=";
  constexpr int64_t kMaxSeconds = 3600;
  constexpr int64_t kMillisPerSecond = 1000;
  const std::string_view text = answer[http::field::keep_alive];
  const size_t position = text.find(kName);
  if (position == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  std::string_view digits = text.substr(position + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseNumber(digits, 0, kMaxSeconds);
  return seconds ? millis(*seconds * kMillisPerSecond) : kDefaultIdleTimeout;
}

// Writes the request in the background: an instance may answer before it has
// read a long body, and its answer would otherwise never be read.
void StartWrite(const std::shared_ptr<instance_connection>& connection) {
  connection->sending = request_sending::kUnderWay;
  http::async_write(connection->stream, connection->request,
                    [connection](const error_code& failure, size_t) {
                      connection->sending = failure ? request_sending::kFailed
                                                    : request_sending::kDone;
                    });
}

// Confirms that the end of the connection ends an answer without a length.
// While the request is being written, the end of a read proves nothing: Linux
// reports a reset once, and after a write has got it, a read ends as after an
// orderly close. Bytes that are in the system's buffer may still meet a reset.
// An instance that has ended its own direction alone may go on reading.
awaitable<error_code> ConfirmEnd(
    instance_connection& connection,
    std::chrono::steady_clock::time_point deadline) {
  const auto until = std::chrono::steady_clock::now() + ToChrono(kResetWait);
  // A cancellation, or a lack of memory, closes the connection.
  while (connection.stream.socket().is_open()) {
    const int socket = connection.stream.socket().native_handle();
    if (connection.sending == request_sending::kDone &&
        !HasUnacknowledgedBytes(socket)) {
      co_return error_code();
    }
    if (connection.sending == request_sending::kFailed || IsReset(socket)) {
      co_return asio::error::connection_reset;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= deadline) {
      co_return beast::error::timeout;
    }
    if (now >= until) {
      co_return error_code();
    }
    co_await Sleep(connection.stream.get_executor(), kResetCheckInterval);
  }
  co_return asio::error::operation_aborted;
}

}  // namespace

void exchange_control::Cancel() {
  cancelled = true;
  if (connection) {
    connection->stream.close();
  }
}

bool exchange_control::HasStartedSending() const {
  return connection && connection->sending != request_sending::kNotStarted;
}

connection_pool::connection_pool(asio::io_context& context,
                                 std::shared_ptr<memory_budget> memory)
    : context_(context), memory_(std::move(memory)) {}

connection_pool::~connection_pool() = default;

connection_pool::connection_ptr connection_pool::TakeIdle(
    const instance_entry& instance, millis max_idle_time) {
  auto& kept = idle_[ConnectionKey(instance)];
  const millis now = boot_clock::Now();
  while (!kept.empty()) {
    connection_ptr connection = std::move(kept.back());
    kept.pop_back();
    const millis max_time = std::min(max_idle_time, connection->idle_timeout);
    if (now - connection->idle_since <= max_time &&
        IsQuiet(connection->stream.socket().native_handle())) {
      return connection;
    }
  }
  return nullptr;
}

int connection_pool::KeepIdle(const instance_entry& instance,
                              connection_ptr connection) {
  auto& kept = idle_[ConnectionKey(instance)];
  if (kept.size() < kMaxIdlePerInstance) {
    connection->stream.expires_never();
    connection->idle_since = boot_clock::Now();
    connection->request = {};  // gives back the memory of its body
    kept.push_back(std::move(connection));
  }
  return static_cast<int>(kept.size());
}

void connection_pool::CloseIdle(millis now) {
  for (auto& [address, kept] : idle_) {
    std::erase_if(kept, [now](const connection_ptr& idle_connection) {
      return now - idle_connection->idle_since > idle_connection->idle_timeout;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::CloseIdleTo(const instance_entry& instance) {
  idle_.erase(ConnectionKey(instance));
}

awaitable<exchange_result> connection_pool::Exchange(
    exchange_params params, exchange_control& control) {
  exchange_result result;
  const auto deadline =
      std::chrono::steady_clock::now() + ToChrono(params.time_left);
  connection_ptr connection = TakeIdle(params.instance, params.max_idle_time);
  result.reused = connection != nullptr;
  if (!result.reused) {
    connection = std::make_shared<instance_connection>(context_);
  }
  // Closing the connection ends the read of a body that is dropped.
  auto reservation = std::make_shared<memory_reservation>(
      memory_, memory_kind::kAnswer,
      [connection] { connection->stream.close(); }, boot_clock::Now());
  reservation->Expect(params.expected_bytes);
  if (!result.reused) {
    control.connection = connection;
    const bool connected = co_await ConnectTo(
        connection->stream, params.instance.address, params.instance.port,
        std::min(params.time_left, kConnectTimeout));
    if (!connected || control.cancelled) {
      result.summary.ended = control.cancelled ? attempt_end_cause::kCancelled
                                               : attempt_end_cause::kRefused;
      co_return result;
    }
  }
  // It may have said so to another request, or the store's list may have
  // changed, while the connection was opened.
  if (!may_send(params.instance)) {
    result.withdrawn = true;
    result.summary.ended = attempt_end_cause::kCancelled;
    co_return result;
  }
  const millis work_time = params.work_until - boot_clock::Now();
  if (work_time <= millis(0)) {
    result.summary.ended = attempt_end_cause::kTimeout;
    co_return result;
  }
  SetTimeLeft(params.request, work_time);
  control.connection = connection;
  connection->sending = request_sending::kNotStarted;
  connection->stream.expires_at(deadline);
  connection->request = std::move(params.request);
  StartWrite(connection);
  result.summary.written = write_progress::kAll;
  std::optional<answer_parser> parser;
  error_code failure;
  for (int stray_answers = 0;; ++stray_answers) {
    failure =
        co_await ReadAnswerHead(connection->stream, connection->buffer, parser,
                                connection->request.method(), kAnswerLimits,
                                [this, &params](const http_response& head) {
                                  on_notice(params.instance, ReadNotice(head));
                                });
    if (!failure) {
      result.summary.read = read_progress::kPart;
      failure = co_await ReadAnswerBody(connection->stream, connection->buffer,
                                        *parser, *reservation, deadline);
      if (!failure && parser->need_eof()) {
        failure = co_await ConfirmEnd(*connection, deadline);
      }
    }
    if (failure || stray_answers == kMaxStrayAnswers ||
        AnswersRequest(parser->get(), params.id)) {
      break;
    }
    result.summary.read = read_progress::kNothing;
  }
  if (reservation->is_ended()) {
    on_body_dropped(params.instance);
  }
  if (!failure && IsDoubtfulRejection(parser->get(), connection->buffer)) {
    failure = http::make_error_code(http::error::unexpected_body);
  }
  if (control.cancelled) {
    result.summary.ended = attempt_end_cause::kCancelled;
    co_return result;
  }
  if (failure || !AnswersRequest(parser->get(), params.id)) {
    result.summary.ended =
        failure ? EndingOf(failure) : attempt_end_cause::kMalformed;
    connection->stream.close();
    co_return result;
  }
  result.summary.read = read_progress::kWhole;
  result.summary.ended = attempt_end_cause::kAnswered;
  const bool is_framed = !parser->need_eof();
  result.answer = parser->release();
  reservation->Complete();
  result.reservation = std::move(reservation);
  if (result.answer.keep_alive() && is_framed &&
      connection->sending == request_sending::kDone &&
      connection->buffer.size() == 0 && !ReadNotice(result.answer).leaving) {
    connection->idle_timeout = IdleTimeout(result.answer) - kIdleCloseMargin;
    result.idle_connections = KeepIdle(params.instance, std::move(connection));
  } else {
    connection->stream.close();
  }
  co_return result;
}

}  // namespace peridotarch
