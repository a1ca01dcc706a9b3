// Answers of the store, the log, the list of hosts and other nodes that are
// broken or no HTTP.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "memory/body_blocks.h"
#include "memory/memory_budget.h"
#include "platform/block_body.h"
#include "platform/http_client.h"
#include "tests/support/early_answer_server.h"
#include "tests/support/field_names.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr size_t kLongBody = 8 << 20;  // more than the sockets' buffers hold
const std::string kStart = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 4\r\n\r\nbody";
const std::string kChunks =
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

// Returns what a client gets, or nothing if its exchange fails. A client of
// another node counts answers for its memory.
std::optional<http_response> Fetch(const early_answer& answer,
                                   size_t body_bytes = 0,
                                   bool counts_memory = false) {
  asio::io_context context;
  early_answer_server server(context,
                             [&answer](const std::string&) { return answer; });
  http_client client(context.get_executor(), {"127.0.0.1", server.port()});
  block_request request(http::verb::put, "/", 11);
  const auto body = std::make_shared<body_blocks>();
  body->Append(std::string(body_bytes, 'x'), body_bytes, millis(0));
  request.body() = body;
  std::shared_ptr<memory_reservation> memory;
  if (counts_memory) {
    memory = std::make_shared<memory_reservation>(
        std::make_shared<memory_budget>(
            LimitsFor(uint64_t{112} << 20, uint64_t{14} << 20)),
        memory_kind::kAnswer, [] {}, boot_clock::Now());
  }
  std::optional<http_response> result;
  bool ended = false;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        try {
          result = co_await client.Exchange(std::move(request), millis(500),
                                            millis(0), memory);
        } catch (const platform_error&) {
        }
        ended = true;
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(2));
  REQUIRE(ended);
  return result;
}

std::optional<http_response> Fetch(const std::string& answer) {
  return Fetch({answer, after_answer::kReadOn});
}

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " Word\r\n" + kLength;
}

// The client took 000 and any other three digits for a final status.
TEST_CASE("a client fails upon an answer with an invalid status") {
  for (const std::string status :
       {"000", "001", "099", "20", "2000", "0200", "-20", "2x0", ""}) {
    INFO("status \"" << status << "\"");
    CHECK_FALSE(Fetch(WithStatus(status)));
  }
  CHECK(Fetch(WithStatus("299")));
  CHECK(Fetch(WithStatus("799")));
}

TEST_CASE("a client passes over informational answers") {
  for (const std::string first :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
    const auto answer = Fetch(first + first + kStart + kLength);
    REQUIRE(answer);
    CHECK(answer->result_int() == 200);
    CHECK(answer->body() == "body");
    CHECK_FALSE(Fetch({first, after_answer::kClose}));
  }
}

// The informational answer was taken for the answer, and the one behind it for
// the answer to the next call.
TEST_CASE("a client gets no answer to the call before") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(
      context,
      [&acceptor]() -> awaitable<void> {
        tcp::socket socket =
            co_await acceptor.async_accept(asio::use_awaitable);
        std::string received;
        for (const std::string answer : {"first", "other"}) {
          const size_t head_bytes = co_await asio::async_read_until(
              socket, asio::dynamic_buffer(received), "\r\n\r\n",
              asio::use_awaitable);
          received.erase(0, head_bytes);
          const std::string hints = "HTTP/1.1 103 Early Hints\r\n\r\n";
          co_await asio::async_write(socket, asio::buffer(hints),
                                     asio::use_awaitable);
          co_await Sleep(socket.get_executor(), millis(50));
          const std::string bytes =
              kStart + "Content-Length: 5\r\n\r\n" + answer;
          co_await asio::async_write(socket, asio::buffer(bytes),
                                     asio::use_awaitable);
        }
      },
      asio::detached);
  http_client client(context.get_executor(),
                     {"127.0.0.1", acceptor.local_endpoint().port()});
  std::vector<std::string> bodies;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        for (int i = 0; i < 2; ++i) {
          http_request request(http::verb::get, "/", 11);
          const http_response answer =
              co_await client.Exchange(std::move(request), millis(500));
          bodies.push_back(answer.body());
        }
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(2));
  CHECK(bodies == std::vector<std::string>{"first", "other"});
}

TEST_CASE("a client fails upon a field name that is no token") {
  const auto make_all = [](const std::string& name) {
    const std::string line = name + ": 4\r\n";
    return std::vector<std::string>{
        kStart + line + kLength,
        "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + kStart + kLength,
        kStart + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line +
            "\r\n"};
  };
  for (const std::string& name : InvalidFieldNames()) {
    for (const std::string& answer : make_all(name)) {
      INFO(answer);
      CHECK_FALSE(Fetch(answer));
    }
  }
  for (const std::string& answer : make_all(LongestToken())) {
    const auto got = Fetch(answer);
    REQUIRE(got);
    CHECK(got->body() == "body");
  }
}

TEST_CASE("a client fails upon an answer that ends early") {
  const std::string head = kStart + "\r\n";
  for (const std::string& whole :
       {kStart + kLength, kStart + kChunks, head + "body"}) {
    // Without a length, closing the connection ends the body.
    const size_t closed_whole =
        whole.starts_with(head) ? head.size() : whole.size();
    for (size_t length = 0; length < whole.size(); ++length) {
      for (const bool counts_memory : {false, true}) {
        INFO("cut after " << length << " bytes of " << whole);
        const std::string part = whole.substr(0, length);
        CHECK_FALSE(Fetch({part, after_answer::kReset}, 0, counts_memory));
        if (length < closed_whole) {
          CHECK_FALSE(Fetch({part, after_answer::kClose}, 0, counts_memory));
        }
      }
    }
    CHECK(Fetch({whole, after_answer::kClose}));
  }
}

TEST_CASE("a client fails if its request meets a reset") {
  for (const auto then : {after_answer::kReset, after_answer::kClose,
                          after_answer::kHalfCloseReset}) {
    for (const bool counts_memory : {false, true}) {
      const early_answer part = {kStart + "\r\npart", then, millis(20)};
      CHECK_FALSE(Fetch(part, kLongBody, counts_memory));
    }
  }
  const early_answer whole = {kStart + kLength, after_answer::kReadOn};
  CHECK(Fetch(whole, kLongBody));
}

}  // namespace
}  // namespace peridotarch
