#include "proxy/upstream_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "core/error.h"
#include "inner/headers.h"
#include "platform/answer_body.h"
#include "platform/answer_framing.h"
#include "platform/answer_head.h"
#include "platform/quiet.h"
#include "platform/to_chrono.h"
#include "proxy/connect.h"
#include "proxy/exchange_ending.h"
#include "proxy/message.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr millis kConnectTimeout(1000);
constexpr size_t kMaxIdleConnections = 64;
constexpr int kHttp11 = 11;
constexpr answer_limits kAnswerLimits = {kMaxHeaderBytes, kMaxBodyBytes};

// An answer that only the end of the connection delimits cannot be told from
// one that was cut, so it does not count as whole.
bool HasKnownLength(const answer_parser& parser) {
  return parser.chunked() || parser.content_length().has_value() ||
         !parser.need_eof();
}

}  // namespace

struct upstream_link::connection {
  explicit connection(const asio::any_io_executor& strand) : stream(strand) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

upstream_link::upstream_link(asio::any_io_executor strand, host where,
                             std::shared_ptr<memory_budget> memory)
    : strand_(std::move(strand)),
      where_(std::move(where)),
      memory_(std::move(memory)) {}

upstream_link::~upstream_link() = default;

std::shared_ptr<upstream_link::connection> upstream_link::TakeIdle() {
  while (!idle_.empty()) {
    auto taken = std::move(idle_.back());
    idle_.pop_back();
    if (IsQuiet(taken->stream.socket().native_handle())) {
      return taken;
    }
  }
  return nullptr;
}

// Closing the connection ends the read of an answer that is dropped.
std::shared_ptr<memory_reservation> upstream_link::ReserveAnswer(
    const std::shared_ptr<connection>& used) const {
  auto end = [weak = std::weak_ptr(used), strand = strand_] {
    asio::post(strand, [weak] {
      if (const auto open = weak.lock()) {
        open->stream.close();
      }
    });
  };
  return std::make_shared<memory_reservation>(
      memory_, memory_kind::kAnswer, std::move(end), boot_clock::Now());
}

awaitable<attempt_result> upstream_link::Send(const block_request& request,
                                              millis timeout,
                                              uint64_t expected_bytes) {
  attempt_result result;
  const auto until = std::chrono::steady_clock::now() + ToChrono(timeout);
  auto used = TakeIdle();
  if (!used) {
    used = std::make_shared<connection>(strand_);
    const millis limit = std::min(timeout, kConnectTimeout);
    if (!co_await ConnectTo(used->stream, where_.address, where_.port, limit)) {
      result.end.ended = attempt_end_cause::kRefused;
      co_return result;
    }
  }
  auto memory = ReserveAnswer(used);
  memory->Expect(expected_bytes);
  used->stream.expires_at(until);
  error_code failure;
  result.end.written = write_progress::kPart;
  co_await http::async_write(
      used->stream, request,
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    result.end.ended = EndingOf(failure);
    co_return result;
  }
  result.end.written = write_progress::kAll;
  std::optional<answer_parser> parser;
  failure = co_await ReadAnswerHead(used->stream, used->buffer, parser,
                                    request.method(), kAnswerLimits);
  if (!failure) {
    result.end.read = read_progress::kPart;
    if (!HasKnownLength(*parser)) {
      result.end.ended = attempt_end_cause::kMalformed;
      co_return result;
    }
    // Others are not sent unless there is room for this answer too.
    const auto length = parser->content_length();
    memory->Expect(std::max<uint64_t>(expected_bytes, length.value_or(0)));
    failure = co_await ReadAnswerBody(used->stream, used->buffer, *parser,
                                      *memory, until);
  }
  // A connection whose answer was dropped is about to be closed.
  result.memory_short = !memory->Complete();
  if (failure || result.memory_short) {
    result.end.ended = failure ? EndingOf(failure) : attempt_end_cause::kReset;
    co_return result;
  }
  result.end.read = read_progress::kWhole;
  result.end.ended = attempt_end_cause::kAnswered;
  const std::string_view following(
      static_cast<const char*>(used->buffer.data().data()),
      used->buffer.size());
  const bool is_joined = HasJoinedBody(parser->get(), following);
  result.answer = parser->release();
  result.answer_memory = std::move(memory);
  result.end.shed = result.answer.count(kNotStartedHeader) != 0 &&
                    result.answer.result() == http::status::service_unavailable;
  // The upstream may have broken off in the rejection and answered behind it.
  if (result.end.shed && is_joined) {
    result.end.shed = false;
    result.end.ended = attempt_end_cause::kMalformed;
    co_return result;
  }
  result.draining = result.answer.count(kDrainingHeader) != 0;
  if (result.answer.keep_alive() && used->buffer.size() == 0 &&
      idle_.size() < kMaxIdleConnections) {
    used->stream.expires_never();
    idle_.push_back(std::move(used));
  }
  co_return result;
}

awaitable<cancel_answer> upstream_link::Cancel(std::string attempt,
                                               millis timeout) {
  http_client client(strand_, {where_.address, where_.port});
  http_request request(http::verb::post, "/_cancel/" + attempt, kHttp11);
  try {
    const http_response answer =
        co_await client.Exchange(std::move(request), timeout);
    const auto state = FromName<cancel_answer>(
        nlohmann::json::parse(answer.body()).at("state").get<std::string>());
    co_return state.value_or(cancel_answer::kUnknown);
  } catch (const platform_error&) {
    co_return cancel_answer::kNone;
  } catch (const nlohmann::json::exception&) {
    co_return cancel_answer::kNone;
  }
}

awaitable<bool> upstream_link::Probe(millis timeout) {
  http_client client(strand_, {where_.address, where_.port});
  http_request request(http::verb::get, "/_health", kHttp11);
  try {
    const http_response answer =
        co_await client.Exchange(std::move(request), timeout);
    co_return answer.result() == http::status::ok;
  } catch (const platform_error&) {
    co_return false;
  }
}

}  // namespace peridotarch
