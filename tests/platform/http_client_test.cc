#include "platform/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace peridotarch {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Answers each request on one connection with its own target.
awaitable<void> Echo(tcp::acceptor& acceptor) {
  boost::beast::tcp_stream stream(
      co_await acceptor.async_accept(asio::use_awaitable));
  boost::beast::flat_buffer buffer;
  for (;;) {
    http_request request;
    boost::system::error_code failure;
    co_await http::async_read(
        stream, buffer, request,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    http_response answer(http::status::ok, 11);
    answer.body() = std::string(request.target());
    answer.prepare_payload();
    co_await http::async_write(
        stream, answer, asio::redirect_error(asio::use_awaitable, failure));
  }
}

TEST_CASE("calls made at once share the connection, each with its own answer") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(context, Echo(acceptor), asio::detached);
  http_client client(context.get_executor(),
                     {"127.0.0.1", acceptor.local_endpoint().port()});
  constexpr int kCalls = 20;
  int own_answers = 0;
  int ended = 0;
  for (int i = 0; i < kCalls; ++i) {
    asio::co_spawn(
        context,
        [&, i]() -> awaitable<void> {
          const std::string target = "/" + std::to_string(i);
          http_request request(http::verb::get, target, 11);
          const http_response answer =
              co_await client.Exchange(std::move(request), millis(2000));
          own_answers += answer.body() == target ? 1 : 0;
          if (++ended == kCalls) {
            context.stop();
          }
        },
        asio::detached);
  }
  context.run_for(std::chrono::seconds(5));
  REQUIRE(own_answers == kCalls);
}

// Answers the first request of each connection with its target, twice.
awaitable<void> EchoTwice(tcp::acceptor& acceptor) {
  for (;;) {
    boost::beast::tcp_stream stream(
        co_await acceptor.async_accept(asio::use_awaitable));
    boost::beast::flat_buffer buffer;
    http_request request;
    co_await http::async_read(stream, buffer, request, asio::use_awaitable);
    const std::string target(request.target());
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) +
        "\r\n\r\n" + target;
    const std::string twice = answer + answer;
    co_await asio::async_write(stream, asio::buffer(twice),
                               asio::use_awaitable);
  }
}

// A server that sent an answer once more had it taken for the next one, so a
// read of the store gave an older page or another topic's.
TEST_CASE("bytes behind an answer are not the answer to the next call") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(context, EchoTwice(acceptor), asio::detached);
  http_client client(context.get_executor(),
                     {"127.0.0.1", acceptor.local_endpoint().port()});
  std::string second;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        http_request first_call(http::verb::get, "/first", 11);
        co_await client.Exchange(std::move(first_call), millis(2000));
        http_request second_call(http::verb::get, "/second", 11);
        const http_response answer =
            co_await client.Exchange(std::move(second_call), millis(2000));
        second = answer.body();
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(5));
  CHECK(second == "/second");
}

// The answer of another node to HEAD, forwarded there, was waited for until its
// body would have come.
TEST_CASE("HEAD: an answer ends with its head, whatever length it names") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(
      context,
      [&acceptor]() -> awaitable<void> {
        tcp::socket socket =
            co_await acceptor.async_accept(asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        for (int i = 0; i < 2; ++i) {
          http_request request;
          co_await http::async_read(socket, buffer, request,
                                    asio::use_awaitable);
          const std::string head =
              "HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n";
          co_await asio::async_write(socket, asio::buffer(head),
                                     asio::use_awaitable);
        }
      },
      asio::detached);
  http_client client(context.get_executor(),
                     {"127.0.0.1", acceptor.local_endpoint().port()});
  int answers = 0;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        for (int i = 0; i < 2; ++i) {
          http_request request(http::verb::head, "/", 11);
          const http_response answer =
              co_await client.Exchange(std::move(request), millis(500));
          answers += answer.body().empty() ? 1 : 0;
        }
      },
      asio::detached);
  context.run_for(std::chrono::seconds(2));
  CHECK(answers == 2);
}

}  // namespace
}  // namespace peridotarch
