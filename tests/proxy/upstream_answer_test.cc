// Answers of upstreams that are broken or no HTTP.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "memory/body_blocks.h"
#include "proxy/upstream_link.h"
#include "tests/support/early_answer_server.h"
#include "tests/support/field_names.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;

constexpr size_t kLongBody = 8 << 20;  // more than the sockets' buffers hold

// Returns how an attempt ends at an upstream that gives the answer.
attempt_result SendTo(const early_answer& answer, size_t body_bytes = 0) {
  asio::io_context context;
  early_answer_server server(context,
                             [&answer](const std::string&) { return answer; });
  host upstream;
  upstream.address = "127.0.0.1";
  upstream.port = server.port();
  const auto memory = std::make_shared<memory_budget>(
      LimitsFor(uint64_t{112} << 20, uint64_t{14} << 20));
  upstream_link link(context.get_executor(), upstream, memory);
  block_request request(boost::beast::http::verb::put, "/", 11);
  const auto body = std::make_shared<body_blocks>();
  body->Append(std::string(body_bytes, 'x'), body_bytes, millis(0));
  request.body() = body;
  request.prepare_payload();
  std::optional<attempt_result> result;
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        result = co_await link.Send(request, millis(500));
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(2));
  REQUIRE(result);
  return *result;
}

attempt_result SendTo(const std::string& answer) {
  return SendTo({answer, after_answer::kReadOn});
}

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " Word\r\nContent-Length: 0\r\n\r\n";
}

TEST_CASE("an upstream's answer with an invalid status is malformed") {
  for (const std::string status : {"000", "099", "20", "2000", "2x0"}) {
    INFO("status " << status);
    CHECK(SendTo(WithStatus(status)).end.ended ==
          attempt_end_cause::kMalformed);
  }
  CHECK(SendTo(WithStatus("101")).end.ended != attempt_end_cause::kAnswered);
  CHECK(SendTo(WithStatus("204")).end.ended == attempt_end_cause::kAnswered);
}

TEST_CASE("an upstream's answer with a field name that is no token") {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Content-Length: 4\r\n\r\nbody";
  const auto make_all = [&](const std::string& name) {
    const std::string line = name + ": 4\r\n";
    return std::vector<std::string>{
        start + line + end,
        "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + start + end,
        start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line +
            "\r\n"};
  };
  for (const std::string& name : InvalidFieldNames()) {
    for (const std::string& answer : make_all(name)) {
      INFO(answer);
      CHECK(SendTo(answer).end.ended == attempt_end_cause::kMalformed);
    }
  }
  for (const std::string& answer : make_all(LongestToken())) {
    const attempt_result result = SendTo(answer);
    CHECK(result.end.ended == attempt_end_cause::kAnswered);
    CHECK(result.answer.body() == "body");
  }
}

TEST_CASE("an upstream's answer that ends early is never whole") {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (const std::string& whole :
       {start + "Content-Length: 4\r\n\r\nbody",
        start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
    for (const auto then : {after_answer::kReset, after_answer::kClose}) {
      for (size_t length = 0; length < whole.size(); ++length) {
        INFO("cut after " << length << " bytes of " << whole);
        const attempt_result result = SendTo({whole.substr(0, length), then});
        CHECK(result.end.ended != attempt_end_cause::kAnswered);
        CHECK(JudgeAttempt(result.end) == verdict::kMayHaveRun);
      }
    }
    CHECK(SendTo({whole, after_answer::kClose}).end.ended ==
          attempt_end_cause::kAnswered);
  }
}

TEST_CASE("an upstream that answers and resets while the request is written") {
  for (const auto then : {after_answer::kReset, after_answer::kClose,
                          after_answer::kHalfCloseReset}) {
    for (const millis pause : {millis(0), millis(20)}) {
      const early_answer part = {"HTTP/1.1 200 OK\r\n\r\npart", then, pause};
      const attempt_result result = SendTo(part, kLongBody);
      CHECK(result.end.ended != attempt_end_cause::kAnswered);
      CHECK(JudgeAttempt(result.end) == verdict::kMayHaveRun);
    }
  }
  // An answer without a length is refused however it ends.
  const early_answer half_closed = {"HTTP/1.1 200 OK\r\n\r\npart",
                                    after_answer::kHalfClose};
  CHECK(SendTo(half_closed, kLongBody).end.ended ==
        attempt_end_cause::kMalformed);
}

TEST_CASE("an upstream that answers early and reads on") {
  const early_answer whole = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      after_answer::kReadOn};
  const attempt_result result = SendTo(whole, kLongBody);
  CHECK(result.end.ended == attempt_end_cause::kAnswered);
  CHECK(result.answer.body() == "body");
}

}  // namespace
}  // namespace peridotarch
