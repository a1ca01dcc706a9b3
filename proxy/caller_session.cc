#include "proxy/caller_session.h"

#include <chrono>
#include <utility>

#include "core/invariant.h"
#include "platform/hop_headers.h"
#include "proxy/entry.h"
#include "proxy/http_session.h"
#include "proxy/message.h"
#include "proxy/node.h"

namespace peridotarch {

namespace http = boost::beast::http;

namespace {

constexpr millis kIdle(60'000);
constexpr int kHttp11 = 11;

http_response ReadyReply(const node& here) {
  const bool ready = !here.draining.load() && !here.isolated.load() &&
                     here.config.Load() != nullptr;
  http_response reply(
      ready ? http::status::ok : http::status::service_unavailable, kHttp11);
  reply.body() = ready ? "ready\n" : "not ready\n";
  reply.prepare_payload();
  return reply;
}

bool IsReadyCheck(const http_request& request) {
  return request.method() == http::verb::get && request.target() == "/ready";
}

awaitable<http_response> AnswerCaller(node& here, http_request request) {
  const bool head = request.method() == http::verb::head;
  const auto begun = std::chrono::steady_clock::now();
  call_result result = co_await RunRequest(here, std::move(request));
  const auto spent = std::chrono::steady_clock::now() - begun;
  here.measures.request_time.Record(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(spent).count()));
  here.measures.CountReply(result.why, result.run_verdict);
  http_response reply = ToReply(std::move(result));
  StripHopHeaders(reply);
  if (head) {
    reply.body().clear();
  }
  Check(IsWhole(reply, head), invariant::kWholeAnswer);
  co_return reply;
}

}  // namespace

awaitable<void> ServeCaller(std::shared_ptr<node> here,
                            boost::beast::tcp_stream stream) {
  http_session session(std::move(stream));
  for (;;) {
    read_limits limits;
    limits.idle = kIdle;
    read_outcome read = co_await session.Read(limits);
    if (!read.request) {
      if (read.refused) {
        call_result refused = Refusal(*read.refused);
        here->measures.CountReply(refused.why, refused.run_verdict);
        http_response reply = ToReply(std::move(refused));
        co_await session.Write(std::move(reply), false);
      }
      break;
    }
    // The count falls only after the reply is written: a shutdown waits for
    // it.
    here->in_flight.fetch_add(1);
    const bool check = IsReadyCheck(*read.request);
    const bool keep = read.request->keep_alive();
    // Not one conditional expression: GCC 12 copies its temporary byte by byte.
    http_response reply;
    if (check) {
      reply = ReadyReply(*here);
    } else {
      reply = co_await AnswerCaller(*here, std::move(*read.request));
    }
    const bool more = co_await session.Write(std::move(reply),
                                             keep && !here->draining.load());
    here->in_flight.fetch_sub(1);
    if (!more) {
      break;
    }
  }
  session.Close();
}

}  // namespace peridotarch
