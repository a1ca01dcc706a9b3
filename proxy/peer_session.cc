#include "proxy/peer_session.h"

#include <utility>

#include "core/error.h"
#include "core/hash.h"
#include "inner/channel.h"
#include "inner/forwarded_call.h"
#include "inner/headers.h"
#include "proxy/control.h"
#include "proxy/http_session.h"
#include "proxy/message.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"

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

bool HasMark(channel& from, const http_request& request) {
  const std::string covered =
      CoveredText(request.method_string(), request.target(),
                  request[kInnerCallHeader], ToHex(Sha256(request.body())));
  return from.Verify(request[kInnerSealHeader], covered);
}

awaitable<http_response> RunForwarded(node& here, http_request request) {
  forwarded_call call;
  try {
    call = DecodeForwardedCall(request[kInnerCallHeader]);
  } catch (const codec_error&) {
    co_return ToReply(Refusal(reason::kBadRequest));
  }
  StripForForwarding(request);
  const auto shard = here.owners.Get(call.service, call.shard);
  const std::string id = call.id;
  call_result result = co_await shard->Run(std::move(call), std::move(request));
  http_response reply = ToReply(std::move(result));
  reply.set(kInnerAnswerHeader, id);
  co_return reply;
}

awaitable<http_response> AnswerPeer(node& here, control& loops,
                                    http_request request) {
  if (request.target() == kRpcTarget && request[kInnerCallHeader].empty()) {
    co_return TextReply(http::status::ok,
                        co_await loops.HandleRpc(request.body()));
  }
  co_return co_await RunForwarded(here, std::move(request));
}

}  // namespace

awaitable<void> ServePeer(std::shared_ptr<node> here,
                          std::shared_ptr<control> loops,
                          boost::beast::tcp_stream stream) {
  http_session session(std::move(stream));
  const std::string nonce = MakeNonce();
  channel marks(here->settings.fleet_key, nonce);
  for (;;) {
    read_limits limits;
    limits.idle = kIdle;
    read_outcome read = co_await session.Read(limits);
    if (!read.request) {
      break;
    }
    const std::string target(read.request->target());
    if (target == kHelloTarget) {
      http_response hello = TextReply(http::status::ok, nonce);
      if (!co_await session.Write(std::move(hello), true)) {
        break;
      }
      continue;
    }
    if (target == "/metrics") {
      http_response text = TextReply(http::status::ok, here->registry.ToText());
      if (!co_await session.Write(std::move(text), true)) {
        break;
      }
      continue;
    }
    if (!HasMark(marks, *read.request)) {
      here->measures.inner_refused.Add();
      http_response refused = TextReply(http::status::forbidden, "");
      co_await session.Write(std::move(refused), false);
      break;
    }
    here->in_flight.fetch_add(1);
    http_response reply =
        co_await AnswerPeer(*here, *loops, std::move(*read.request));
    const bool more = co_await session.Write(std::move(reply), true);
    here->in_flight.fetch_sub(1);
    if (!more) {
      break;
    }
  }
  session.Close();
}

}  // namespace peridotarch
