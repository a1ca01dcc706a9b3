#include "front/connection_pool.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "front/instance_connection.h"
#include "platform/call_wire.h"
#include "platform/quiet.h"
#include "platform/to_chrono.h"
#include "proxy/connect.h"
#include "proxy/exchange_ending.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using answer_parser = http::response_parser<http::string_body>;

// A connection within a zone takes a millisecond; the first retransmission of
// a lost opening packet comes after a second, too late for most requests.
constexpr millis kConnectTimeout(300);
constexpr millis kDefaultIdleLimit(4'000);
constexpr millis kIdleMargin(1'000);  // before the instance closes it
constexpr size_t kMaxIdle = 4;        // of one instance
constexpr uint32_t kMaxAnswerHeader = 64 << 10;
constexpr uint64_t kMaxAnswerBody = 64 << 20;
constexpr int kInformational = 1;  // 1xx
constexpr int kMaxForeignAnswers = 3;

std::string AddressOf(const instance_entry& instance) {
  return instance.address + ':' + std::to_string(instance.port) + '/' +
         instance.id;
}

// "timeout=N" of a Keep-Alive header, in whole seconds.
millis IdleLimit(const http_response& answer) {
  constexpr std::string_view kName = "timeout=";
  constexpr int64_t kMaxSeconds = 3600;
  constexpr int64_t kMillisPerSecond = 1000;
  const std::string_view text = answer[http::field::keep_alive];
  const size_t at = text.find(kName);
  if (at == std::string_view::npos) {
    return kDefaultIdleLimit;
  }
  std::string_view digits = text.substr(at + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseNumber(digits, 0, kMaxSeconds);
  return seconds ? millis(*seconds * kMillisPerSecond) : kDefaultIdleLimit;
}

// Writes without being waited for: an instance may answer before it has read
// a long body, and would otherwise never be heard.
void StartWrite(const std::shared_ptr<instance_connection>& on) {
  on->fully_sent = false;
  on->send_started = true;
  http::async_write(
      on->stream, on->request,
      [on](const error_code& failure, size_t) { on->fully_sent = !failure; });
}

// Reads the next final answer on the connection.
awaitable<error_code> ReadAnswer(instance_connection& on,
                                 std::optional<answer_parser>& parser,
                                 read_progress& part) {
  error_code failure;
  do {
    parser.emplace();
    parser->body_limit(kMaxAnswerBody);
    parser->header_limit(kMaxAnswerHeader);
    parser->skip(on.request.method() == http::verb::head);
    co_await http::async_read_header(
        on.stream, on.buffer, *parser,
        asio::redirect_error(asio::use_awaitable, failure));
  } while (!failure && parser->get().result_int() / 100 == kInformational);
  if (failure) {
    co_return failure;
  }
  part = read_progress::kPart;
  co_await http::async_read(on.stream, on.buffer, *parser,
                            asio::redirect_error(asio::use_awaitable, failure));
  co_return failure;
}

}  // namespace

void exchange_control::Cancel() {
  cancelled = true;
  if (connection) {
    connection->stream.close();
  }
}

bool exchange_control::HasStartedSending() const {
  return connection && connection->send_started;
}

connection_pool::connection_pool(asio::io_context& context)
    : context_(context) {}

connection_pool::~connection_pool() = default;

connection_pool::connection_ptr connection_pool::TakeIdle(
    const instance_entry& instance, millis max_idle) {
  auto& kept = idle_[AddressOf(instance)];
  const millis now = boot_clock::Now();
  while (!kept.empty()) {
    connection_ptr taken = std::move(kept.back());
    kept.pop_back();
    const millis limit = std::min(max_idle, taken->idle_limit);
    if (now - taken->idle_since <= limit &&
        IsQuiet(taken->stream.socket().native_handle())) {
      return taken;
    }
  }
  return nullptr;
}

void connection_pool::Keep(const instance_entry& instance,
                           connection_ptr connection) {
  auto& kept = idle_[AddressOf(instance)];
  if (kept.size() < kMaxIdle) {
    connection->stream.expires_never();
    connection->idle_since = boot_clock::Now();
    kept.push_back(std::move(connection));
  }
}

void connection_pool::CloseIdle(millis now) {
  for (auto& [address, kept] : idle_) {
    std::erase_if(kept, [now](const connection_ptr& one) {
      return now - one->idle_since > one->idle_limit;
    });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

awaitable<exchange_result> connection_pool::Exchange(exchange_params order,
                                                     exchange_control& handle) {
  exchange_result result;
  const auto until =
      std::chrono::steady_clock::now() + ToChrono(order.time_left);
  connection_ptr on = TakeIdle(order.instance, order.max_idle);
  result.reused = on != nullptr;
  if (!on) {
    on = std::make_shared<instance_connection>(context_);
    handle.connection = on;
    const bool connected = co_await ConnectTo(
        on->stream, order.instance.address, order.instance.port,
        std::min(order.time_left, kConnectTimeout));
    if (!connected || handle.cancelled) {
      result.end.ended = handle.cancelled ? attempt_end_cause::kCancelled
                                          : attempt_end_cause::kRefused;
      co_return result;
    }
  }
  handle.connection = on;
  on->send_started = false;
  on->stream.expires_at(until);
  on->request = std::move(order.request);
  StartWrite(on);
  result.end.written = write_progress::kAll;
  std::optional<answer_parser> parser;
  error_code failure;
  for (int foreign = 0;; ++foreign) {
    failure = co_await ReadAnswer(*on, parser, result.end.read);
    if (failure || foreign == kMaxForeignAnswers ||
        AnswersRequest(parser->get(), order.id)) {
      break;
    }
    result.end.read = read_progress::kNothing;
  }
  if (handle.cancelled) {
    result.end.ended = attempt_end_cause::kCancelled;
    co_return result;
  }
  if (failure || !AnswersRequest(parser->get(), order.id)) {
    result.end.ended =
        failure ? EndingOf(failure) : attempt_end_cause::kMalformed;
    on->stream.close();
    co_return result;
  }
  result.end.read = read_progress::kWhole;
  result.end.ended = attempt_end_cause::kAnswered;
  const bool framed = !parser->need_eof();
  result.answer = parser->release();
  if (result.answer.keep_alive() && framed && on->fully_sent &&
      on->buffer.size() == 0) {
    on->idle_limit = IdleLimit(result.answer) - kIdleMargin;
    Keep(order.instance, std::move(on));
  } else {
    on->stream.close();
  }
  co_return result;
}

}  // namespace peridotarch
