// Answers of upstreams whose status is no status of HTTP.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "proxy/upstream_link.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

awaitable<void> AnswerOnce(tcp::acceptor& acceptor, std::string answer) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string request(1024, '\0');
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
}

// Returns how an attempt ends at an upstream that answers with the status.
attempt_result SendTo(const std::string& status) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(context,
                 AnswerOnce(acceptor, "HTTP/1.1 " + status +
                                          " Word\r\nContent-Length: 0\r\n\r\n"),
                 asio::detached);
  host upstream;
  upstream.address = "127.0.0.1";
  upstream.port = acceptor.local_endpoint().port();
  const auto memory = std::make_shared<memory_budget>(
      LimitsFor(uint64_t{112} << 20, uint64_t{14} << 20));
  upstream_link link(context.get_executor(), upstream, memory);
  std::optional<attempt_result> result;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        block_request request(boost::beast::http::verb::get, "/", 11);
        result = co_await link.Send(request, millis(500));
      },
      asio::detached);
  context.run_for(std::chrono::seconds(2));
  REQUIRE(result);
  return *result;
}

TEST_CASE("an upstream's answer with an invalid status is malformed") {
  for (const std::string status : {"000", "099", "20", "2000", "2x0"}) {
    INFO("status " << status);
    CHECK(SendTo(status).end.ended == attempt_end_cause::kMalformed);
  }
  CHECK(SendTo("101").end.ended != attempt_end_cause::kAnswered);
  CHECK(SendTo("204").end.ended == attempt_end_cause::kAnswered);
}

}  // namespace
}  // namespace peridotarch
