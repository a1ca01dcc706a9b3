#include "proxy/peer_session.h"

#include <utility>

#include "core/error.h"
#include "core/hash.h"
#include "inner/channel.h"
#include "inner/forwarded_call.h"
#include "inner/headers.h"
#include "platform/answer_framing.h"
#include "proxy/control.h"
#include "proxy/http_session.h"
#include "proxy/message.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"
#include "proxy/request_memory.h"

namespace peridotarch {

namespace http = boost::beast::http;

namespace {

constexpr millis kIdle(300'000);
constexpr int kHttp11 = 11;

http_response TextReply(http::status status, std::string text) {
  http_response reply(status, kHttp11);
  reply.body() = std::move(text);
  reply.prepare_payload();
  return reply;
}

bool HasMark(channel& from, const block_request& request) {
  const std::string covered =
      CoveredText(request.method_string(), request.target(),
                  request[kInnerCallHeader], ToHex(Sha256(request.body())));
  return from.Verify(request[kInnerSealHeader], covered);
}

awaitable<counted_reply> RunForwarded(node& here, block_request request) {
  forwarded_call call;
  try {
    call = DecodeForwardedCall(request[kInnerCallHeader]);
  } catch (const codec_error&) {
    co_return counted_reply{ToReply(Refusal(reason::kBadRequest)), {}};
  }
  StripForForwarding(request);
  const auto shard = here.owners.Get(call.service, call.shard);
  const std::string id = call.id;
  const http::verb method = request.method();
  call_result result = co_await shard->Run(std::move(call), std::move(request));
  auto memory = std::move(result.answer_memory);
  http_response reply = ToReply(std::move(result));
  reply.set(kInnerAnswerHeader, id);
  RemoveBodyFor(method, reply);
  co_return counted_reply{std::move(reply), std::move(memory)};
}

awaitable<counted_reply> AnswerPeer(node& here, control& loops,
                                    block_request request) {
  if (request.target() == kRpcTarget && request[kInnerCallHeader].empty()) {
    std::string answer = co_await loops.HandleRpc(ToText(request.body()));
    co_return counted_reply{TextReply(http::status::ok, std::move(answer)), {}};
  }
  co_return co_await RunForwarded(here, std::move(request));
}

// Returns whether the connection stays open.
awaitable<bool> ServeOne(node& here, control& loops, channel& marks,
                         http_session& session, block_request request) {
  if (request.target() == "/metrics") {
    UpdateMemoryGauges(here);
    http_response text = TextReply(http::status::ok, here.registry.ToText());
    co_return co_await session.Write(std::move(text), true);
  }
  if (!HasMark(marks, request)) {
    here.measures.inner_refused.Add();
    http_response refused = TextReply(http::status::forbidden, "");
    co_return co_await session.Write(std::move(refused), false);
  }
  here.in_flight.fetch_add(1);
  const std::shared_ptr<void> counted(
      nullptr, [&here](void*) { here.in_flight.fetch_sub(1); });
  counted_reply answer = co_await AnswerPeer(here, loops, std::move(request));
  co_return co_await session.Write(std::move(answer.reply), true);
}

}  // namespace

awaitable<void> ServePeer(std::shared_ptr<node> here,
                          std::shared_ptr<control> loops,
                          boost::beast::tcp_stream stream) {
  const auto session = std::make_shared<http_session>(std::move(stream));
  connection_place place(here->peers, session);
  const std::string nonce = MakeNonce();
  channel marks(here->settings.fleet_key, nonce);
  bool stays_open = place.is_admitted();
  while (stays_open) {
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
      // The other node reads that the request has not run.
      co_await session->Write(ToReply(Refusal(*read.refused)), false);
      co_await session->CloseAfterDelivery();
    }
    if (!read.request) {
      break;
    }
    if (read.request->target() == kHelloTarget) {
      http_response hello = TextReply(http::status::ok, nonce);
      stays_open = co_await session->Write(std::move(hello), true);
    } else {
      stays_open = co_await ServeOne(*here, *loops, marks, *session,
                                     std::move(*read.request));
    }
  }
  session->Close();
}

}  // namespace peridotarch
