#include "front/record_service.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "front/front_node.h"
#include "platform/answer_framing.h"
#include "proxy/http_session.h"

namespace peridotarch {

namespace {

constexpr millis kSlowAnswer(100);  // an answer that takes longer is logged

bool AcceptsZstd(const http_request& request) {
  return request[boost::beast::http::field::accept_encoding].find(
             kZstdCoding) != std::string_view::npos;
}

std::string RemoteAddress(http_session& session) {
  boost::system::error_code failure;
  const auto remote = session.stream().socket().remote_endpoint(failure);
  return failure ? "" : remote.address().to_string();
}

}  // namespace

awaitable<bool> ServeRecords(front_node& node, http_session& session,
                             const http_request& request) {
  const millis started_at = boot_clock::Now();
  const int at_once = ++node.record_reads_served;
  const std::shared_ptr<void> in_progress(
      nullptr, [&node](void*) { --node.record_reads_served; });
  const std::string reader = RemoteAddress(session);
  http_response answer =
      node.mirror.Answer(request.target(), AcceptsZstd(request));
  RemoveBodyFor(request.method(), answer);
  const size_t bytes = answer.body().size();
  const bool stays_open =
      co_await session.Write(std::move(answer), request.keep_alive());
  const millis taken = boot_clock::Now() - started_at;
  node.counters
      .Counter("records_served_bytes_total",
               "Bytes of the store's records given to other nodes.")
      .Add(bytes);
  if (taken >= kSlowAnswer || !stays_open) {
    node.log.Write("records_served_slowly",
                   {{"peer", reader},
                    {"target", std::string(request.target())},
                    {"bytes", bytes},
                    {"ms", taken.count()},
                    {"at_once", at_once},
                    {"written", stays_open}});
  }
  co_return stays_open;
}

}  // namespace peridotarch
