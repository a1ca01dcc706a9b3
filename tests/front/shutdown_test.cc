#include <unistd.h>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/streambuf.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <string>

#include "core/error.h"
#include "core/invariant.h"
#include "front_world.h"

namespace peridotarch {
namespace {

using boost::asio::ip::tcp;
using boost::beast::http::verb;

constexpr int kMaxSteps = 24;

// Sends a request on an idle connection, closes idle connections after `steps`
// handlers have run, and returns what the caller then reads.
std::string Cross(front_world& world, int steps) {
  boost::asio::io_context outside;
  tcp::socket caller(outside);
  caller.connect(world.callers());
  world.RunUntil([&world] { return !world.node->sessions.empty(); });
  world.context.poll();
  const std::string request =
      "PUT /pay/1 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: r1\r\n"
      "X-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  for (int i = 0; i < steps; ++i) {
    world.context.poll_one();
  }
  world.node->draining = true;
  world.node->stops_at = boot_clock::Now() + millis(5'000);
  world.RunUntil([&world] {
    const std::vector<caller_session*> open(world.node->sessions.begin(),
                                            world.node->sessions.end());
    for (caller_session* session : open) {
      session->CloseIfIdle();
    }
    return open.empty();
  });
  boost::asio::streambuf answer;
  boost::system::error_code end;
  boost::asio::read(caller, answer, end);
  return {boost::asio::buffers_begin(answer.data()),
          boost::asio::buffers_end(answer.data())};
}

// Found on trouble-3 of Accra: bytes of a request had been read, its session
// had not run yet and was taken for idle; the request was passed on and its
// connection closed.
TEST_CASE(
    "rolling restarts: a request that crosses the closing of an idle "
    "connection is answered or not passed on") {
  int answered = 0;
  int dropped = 0;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    front_world world;
    world.AddRoute("/pay/", false);
    raw_server& instance = world.AddInstance([](const http_request& request) {
      return InstanceAnswer(IdOf(request), 200, "body",
                            "X-Response-Seal: 1\r\n");
    });
    const std::string answer = Cross(world, steps);
    INFO("closed after " << steps << " handlers");
    CHECK((answer.ends_with("body") || instance.served == 0));
    answered += answer.empty() ? 0 : 1;
    dropped += answer.empty() ? 1 : 0;
  }
  CHECK(answered > 0);
  CHECK(dropped > 0);
}

// Found on a hunted day of Tamega (rolling restarts, slow instances): a request
// taken 3.8 s after SIGTERM was still at its instance when the process ended.
TEST_CASE("rolling restarts: what a stopping node passes on ends in time") {
  front_world world;
  world.AddRoute("/pay/", false);
  std::string allowed;
  raw_server& instance =
      world.AddInstance([&allowed](const http_request& request) {
        allowed = request["X-Deadline-Ms"];
        return InstanceAnswer(IdOf(request), 200, "body",
                              "X-Response-Seal: 1\r\n");
      });
  world.node->draining = true;
  SECTION("with time for a good answer it is passed on, for a shorter time") {
    world.node->stops_at = boot_clock::Now() + millis(850);
    CHECK(world.Ask(verb::put, "/pay/1").result_int() == 200);
    REQUIRE_FALSE(allowed.empty());
    CHECK(std::stoi(allowed) <= 550);
  }
  SECTION("without, it is refused and not passed on") {
    world.node->stops_at = boot_clock::Now() + millis(300);
    const http_response answer = world.Ask(verb::put, "/pay/1");
    CHECK(answer.result_int() == 503);
    CHECK(std::stod(std::string(answer["Retry-After"])) > 0);
    CHECK(instance.served == 0);
  }
}

// Returns what `act` writes to standard output.
std::string OutputOf(const std::function<void()>& act) {
  std::FILE* const file = std::tmpfile();
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(::fileno(file), STDOUT_FILENO);
  act();
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  std::string text(4096, '\0');
  std::rewind(file);
  text.resize(std::fread(text.data(), 1, text.size(), file));
  std::fclose(file);
  return text;
}

// Found on a hunted day of Tamega: a node stopped with a request in flight and
// said so only in a counter that ended with it.
TEST_CASE("a broken promise is counted and logged with its request") {
  SetBreachesFatal(true);
  front_world world;
  const uint64_t before = Breaches(invariant::kGracefulShutdown);
  const std::string kept = OutputOf([&world] {
    world.node->Verify(true, invariant::kGracefulShutdown, "r8");
  });
  CHECK(kept.empty());
  const std::string broken = OutputOf([&world] {
    CHECK_THROWS_AS(
        world.node->Verify(false, invariant::kGracefulShutdown, "r9"),
        invariant_error);
  });
  CHECK(broken.find("promise_broken") != std::string::npos);
  CHECK(broken.find("graceful_shutdown") != std::string::npos);
  CHECK(broken.find("r9") != std::string::npos);
  CHECK(Breaches(invariant::kGracefulShutdown) == before + 1);
}

}  // namespace
}  // namespace peridotarch
