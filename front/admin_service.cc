#include "front/admin_service.h"

#include <utility>

#include "front/record_service.h"
#include "platform/answer_framing.h"
#include "proxy/http_session.h"

namespace peridotarch {

namespace http = boost::beast::http;

namespace {

constexpr millis kAdminIdleTimeout(10'000);
// The requests of the balancer, of scrapes and of other nodes have no body.
constexpr uint64_t kMaxAdminBody = 4 << 10;

http_response AnswerAdminRequest(front_node& node,
                                 const http_request& request) {
  constexpr int kHttp11 = 11;
  if (request.target() == "/metrics") {
    node.UpdateMemoryGauges();
    http_response answer(http::status::ok, kHttp11);
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = node.counters.ToText();
    answer.prepare_payload();
    return answer;
  }
  http_response answer(
      node.Ready() ? http::status::ok : http::status::service_unavailable,
      kHttp11);
  answer.body() = node.Ready() ? "ready\n" : "not ready\n";
  answer.prepare_payload();
  return answer;
}

}  // namespace

// Closing a connection does not end its session at once, so it no longer counts
// as idle.
bool admin_service::MakeRoom() {
  if (open_connections_ < max_connections_) {
    return true;
  }
  if (idle_.empty()) {
    node_->OnConnectionClosed(close_cause::kAdminBusy);
    return false;
  }
  http_session* longest = idle_.front();
  idle_.pop_front();
  longest->stream().close();
  node_->OnConnectionClosed(close_cause::kAdminIdle);
  return true;
}

awaitable<void> admin_service::Serve(boost::beast::tcp_stream stream) {
  http_session session(std::move(stream));
  if (!MakeRoom()) {
    session.Close();
    co_return;
  }
  ++open_connections_;
  try {
    co_await ServeRequests(session);
  } catch (...) {
    std::erase(idle_, &session);
    --open_connections_;
    throw;
  }
  --open_connections_;
  session.Close();
}

awaitable<void> admin_service::ServeRequests(http_session& session) {
  read_limits limits;
  limits.idle = kAdminIdleTimeout;
  limits.body_bytes = kMaxAdminBody;
  for (;;) {
    idle_.push_back(&session);
    const read_outcome read = co_await session.Read(limits);
    std::erase(idle_, &session);
    if (!read.request) {
      break;
    }
    bool stays_open = false;
    if (store_mirror::IsAsked(read.request->target())) {
      stays_open = co_await ServeRecords(*node_, session, *read.request);
    } else {
      http_response answer = AnswerAdminRequest(*node_, *read.request);
      RemoveBodyFor(read.request->method(), answer);
      stays_open =
          co_await session.Write(std::move(answer), read.request->keep_alive());
    }
    if (!stays_open) {
      break;
    }
  }
}

}  // namespace peridotarch
