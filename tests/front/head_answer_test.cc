// Answers to HEAD end with their heads.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "front_world.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;

// Returns all that a caller gets for these requests on one connection.
std::string AnswersTo(front_world& world, const std::string& requests) {
  asio::ip::tcp::socket caller(world.context);
  caller.connect(world.caller_endpoint());
  asio::write(caller, asio::buffer(requests));
  std::string received(64 << 10, '\0');
  size_t size = 0;
  bool is_closed = false;
  asio::co_spawn(
      world.context,
      [&]() -> awaitable<void> {
        boost::system::error_code failure;
        while (!failure) {
          size += co_await caller.async_read_some(
              asio::buffer(received.data() + size, received.size() - size),
              asio::redirect_error(asio::use_awaitable, failure));
        }
        is_closed = true;
      },
      asio::detached);
  world.RunUntil([&is_closed] { return is_closed; });
  CHECK(is_closed);
  return received.substr(0, size);
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& headers = "") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: r1\r\n"
         "X-Deadline-Ms: 500\r\n" +
         headers + "\r\n";
}

// The body of a refusal stood where the next answer was due (review/8).
TEST_CASE("HEAD: the node's own answers have no body") {
  front_world world;
  world.AddRoute("/empty/", true);
  world.AddTeam("red", "key");
  const std::string last = RequestText("GET", "/none", "Connection: close\r\n");
  for (const std::string& request :
       {RequestText("HEAD", "/none"), RequestText("HEAD", "/empty/1"),
        RequestText("HEAD", "/empty/1", "X-Api-Key: key\r\n")}) {
    const std::string answers = AnswersTo(world, request + last);
    const size_t end = answers.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(answers.substr(end + 4, 13) == "HTTP/1.1 404 ");
  }
}

TEST_CASE("HEAD: a refused body is answered without one") {
  front_world world;
  world.AddRoute("/box/", true);
  const std::string answers = AnswersTo(
      world, RequestText("HEAD", "/box/1", "Content-Length: 99999999\r\n"));
  CHECK(answers.starts_with("HTTP/1.1 413 "));
  CHECK(answers.ends_with("\r\n\r\n"));
}

// Each one got 503, and callers came back with it.
TEST_CASE("TRACE with a body is a bad request") {
  front_world world;
  world.AddRoute("/box/", true);
  world.AddInstance(SoundAnswer);
  for (const std::string body :
       {"Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n"}) {
    const std::string answers = AnswersTo(
        world, "TRACE /box/1 HTTP/1.1\r\nHost: box.example\r\n" + body);
    CHECK(answers.starts_with("HTTP/1.1 400 "));
  }
}

}  // namespace
}  // namespace peridotarch
