#include "proxy/caller_session.h"

#include <chrono>
#include <utility>

#include "core/invariant.h"
#include "platform/answer_framing.h"
#include "platform/hop_headers.h"
#include "proxy/entry.h"
#include "proxy/http_session.h"
#include "proxy/message.h"
#include "proxy/node.h"
#include "proxy/request_memory.h"

namespace peridotarch {

namespace http = boost::beast::http;

namespace {

constexpr millis kIdle(60'000);
// An answer that is not read takes the room of other answers.
constexpr millis kWritePause(5'000);
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

bool IsReadyCheck(const block_request& request) {
  return request.method() == http::verb::get && request.target() == "/ready";
}

awaitable<counted_reply> AnswerCaller(node& here, block_request request) {
  const http::verb method = request.method();
  const auto begun = std::chrono::steady_clock::now();
  call_result result = co_await RunRequest(here, std::move(request));
  const auto spent = std::chrono::steady_clock::now() - begun;
  here.measures.request_time.Record(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(spent).count()));
  here.measures.CountReply(result.why, result.run_verdict);
  counted_reply counted;
  counted.memory = std::move(result.answer_memory);
  counted.reply = ToReply(std::move(result));
  StripHopHeaders(counted.reply);
  RemoveBodyFor(method, counted.reply);
  Check(IsWhole(counted.reply, method == http::verb::head),
        invariant::kWholeAnswer);
  co_return counted;
}

// The count falls only after the reply is written: a shutdown waits for it.
awaitable<bool> ServeOne(node& here, http_session& session,
                         block_request request) {
  here.in_flight.fetch_add(1);
  const std::shared_ptr<void> counted(
      nullptr, [&here](void*) { here.in_flight.fetch_sub(1); });
  const bool keep = request.keep_alive();
  counted_reply answer;
  if (IsReadyCheck(request)) {
    answer.reply = ReadyReply(here);
  } else {
    answer = co_await AnswerCaller(here, std::move(request));
  }
  co_return co_await session.Write(std::move(answer.reply),
                                   keep && !here.draining.load(), kWritePause);
}

awaitable<void> Refuse(node& here, http_session& session, reason why,
                       http::verb method) {
  call_result refused = Refusal(why);
  here.measures.CountReply(refused.why, refused.run_verdict);
  http_response reply = ToReply(std::move(refused));
  RemoveBodyFor(method, reply);
  co_await session.Write(std::move(reply), false);
  co_await session.CloseAfterDelivery();
}

}  // namespace

awaitable<void> ServeCaller(std::shared_ptr<node> here,
                            boost::beast::tcp_stream stream) {
  const auto session = std::make_shared<http_session>(std::move(stream));
  connection_place place(here->callers, session);
  while (place.is_admitted()) {
    place.SetIdle(true);
    const bool has_bytes = co_await session->WaitForBytes(kIdle);
    if (!has_bytes) {
      break;
    }
    auto memory = ReserveRequest(*here, session);
    block_read_outcome read =
        co_await session->ReadInBlocks(read_limits(), std::move(memory));
    place.SetIdle(false);
    if (read.refused) {
      co_await Refuse(*here, *session, *read.refused, read.method);
    }
    if (!read.request ||
        !co_await ServeOne(*here, *session, std::move(*read.request))) {
      break;
    }
  }
  session->Close();
}

}  // namespace peridotarch
