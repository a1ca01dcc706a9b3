#include <unistd.h>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/streambuf.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>

#include "balance/request_deadlines.h"
#include "core/error.h"
#include "core/invariant.h"
#include "front_world.h"
#include "platform/to_chrono.h"
#include "scripted_instance.h"

namespace peridotarch {
namespace {

using boost::asio::ip::tcp;
using boost::beast::http::verb;

constexpr int kMaxSteps = 24;

// Sends a request on an idle connection, lets the event loop run `steps`
// handlers, closes idle connections, and returns what the caller then reads.
std::string CloseAfterSteps(front_world& world, int steps) {
  boost::asio::io_context caller_context;
  tcp::socket caller(caller_context);
  caller.connect(world.caller_endpoint());
  world.RunUntil([&world] { return !world.node->sessions.empty(); });
  world.context.poll();
  const std::string request =
      "PUT /pay/1 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: r1\r\n"
      "X-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  for (int i = 0; i < steps; ++i) {
    world.context.poll_one();
  }
  world.StartShutdown(millis(5'000));
  world.RunUntil([&world] {
    const std::vector<caller_session*> sessions(world.node->sessions.begin(),
                                                world.node->sessions.end());
    for (caller_session* session : sessions) {
      session->CloseIfIdle();
    }
    return sessions.empty();
  });
  boost::asio::streambuf answer;
  boost::system::error_code read_end;
  boost::asio::read(caller, answer, read_end);
  return {boost::asio::buffers_begin(answer.data()),
          boost::asio::buffers_end(answer.data())};
}

// The bytes of a request had been read, but its session had not resumed and was
// taken for idle: the connection was closed, and the request still went to an
// instance.
TEST_CASE(
    "rolling restarts: a request that arrives while its idle connection is "
    "closed is either answered or not sent to an instance") {
  int answered = 0;
  int dropped = 0;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    front_world world;
    world.AddRoute("/pay/", false);
    raw_server& instance = world.AddInstance(SoundAnswer);
    const std::string answer = CloseAfterSteps(world, steps);
    INFO("closed after " << steps << " handlers");
    CHECK((answer.ends_with("body") || instance.served == 0));
    answered += answer.empty() ? 0 : 1;
    dropped += answer.empty() ? 1 : 0;
  }
  CHECK(answered > 0);
  CHECK(dropped > 0);
}

// With rolling restarts and slow instances, a request accepted 3.8 s after
// SIGTERM was still running at its instance when the process exited.
TEST_CASE(
    "rolling restarts: a request sent by a draining node ends before its "
    "exit") {
  front_world world;
  world.AddRoute("/pay/", false);
  std::string received_deadline_ms;
  raw_server& instance =
      world.AddInstance([&received_deadline_ms](const http_request& request) {
        received_deadline_ms = request["X-Deadline-Ms"];
        return InstanceAnswer(RequestId(request), 200, "body",
                              "X-Response-Seal: 1\r\n");
      });
  SECTION("with enough time it is sent with a shorter deadline") {
    world.StartShutdown(millis(850));
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
    REQUIRE_FALSE(received_deadline_ms.empty());
    CHECK(std::stoi(received_deadline_ms) <= 550);
  }
  SECTION("without enough time it is refused and not sent") {
    world.StartShutdown(millis(300));
    const http_response answer = world.SendRequest(verb::put, "/pay/1");
    CHECK(answer.result_int() == 503);
    CHECK(std::stod(std::string(answer["Retry-After"])) > 0);
    CHECK(instance.served == 0);
  }
}

// Requests that came late in the grace were sent with the time that was left,
// and their instances stopped work on them.
TEST_CASE(
    "rolling restarts: a request that would lose time goes to another node "
    "once the balancer has noticed") {
  front_world world;
  world.AddRoute("/pay/", false);
  const raw_server& instance = world.AddInstance(SoundAnswer);
  constexpr millis kEnoughForObjective(1'000);
  constexpr millis kEnoughForAll(2'500);
  SECTION("it is refused and not sent") {
    world.StartShutdown(kEnoughForObjective, millis(0));
    const http_response answer = world.SendRequest(verb::put, "/pay/1");
    CHECK(answer.result_int() == 503);
    CHECK(std::stod(std::string(answer["Retry-After"])) > 0);
    CHECK(instance.served == 0);
  }
  SECTION("a request that gets its whole time is served") {
    world.StartShutdown(kEnoughForAll, millis(0));
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  }
  SECTION("before, time for the objective is enough") {
    world.StartShutdown(kEnoughForObjective);
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  }
}

// A request that a node took 3.6 s after SIGTERM was answered with the node's
// own 504 while its instance was at work: the time left had been computed
// before the connection was made.
TEST_CASE(
    "rolling restarts: an instance gets no more time than is left when its "
    "request is written") {
  front_world world;
  world.AddRoute("/pay/", false);
  millis works_until;
  world.AddInstance([&works_until](const http_request& request) {
    works_until = boot_clock::Now() +
                  millis(std::stoi(std::string(request["X-Deadline-Ms"])));
    return InstanceAnswer(RequestId(request), 200, "body",
                          "X-Response-Seal: 1\r\n");
  });
  world.StartShutdown(millis(1'000));
  constexpr millis kClockTolerance(20);
  const millis allowed_until =
      CapDeadlines(world.node->shutdown.stops_at,
                   DeadlinesFor(boot_clock::Now(), millis(1'000), millis(900)))
          .work_until;
  // The loop has a slow turn between the choice and the connection.
  world.node->on_load_change = [](load_change change, instance_key) {
    if (change == load_change::kSlotTaken) {
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  };
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  CHECK(works_until.count() <= allowed_until.count() + kClockTolerance.count());
}

// A request that had not been sent when its time at a draining node was used up
// was answered with 504, which does not say that it has not run.
TEST_CASE(
    "rolling restarts: a request without time left that was not sent is "
    "refused") {
  front_world world;
  world.AddRoute("/pay/", false);
  const raw_server& instance = world.AddInstance(SoundAnswer);
  world.StartShutdown(millis(800));
  world.node->on_load_change = [&world](load_change change, instance_key) {
    if (change == load_change::kSlotTaken) {
      std::this_thread::sleep_for(
          ToChrono(world.node->shutdown.stops_at - boot_clock::Now()));
    }
  };
  const http_response answer = world.SendRequest(verb::put, "/pay/1");
  CHECK(instance.served == 0);
  CHECK(answer.result_int() == 503);
  CHECK(std::stod(std::string(answer["Retry-After"])) > 0);
}

// The answer of an instance that had used up its time came later than the
// node's own, since the request had reached it late.
TEST_CASE(
    "rolling restarts: the last answer of a slow instance arrives before the "
    "node gives its own") {
  front_world world;
  world.AddRoute("/pay/", false);
  scripted_instance instance(world, [](const http_request& request) {
    constexpr millis kDelayOnTheWay(260);
    const millis time_left(std::stoi(std::string(request["X-Deadline-Ms"])));
    return scripted_answer{{{InstanceAnswer(RequestId(request), 504, "late",
                                            "X-Response-Seal: 1\r\n"),
                             kDelayOnTheWay + time_left}}};
  });
  world.StartShutdown(millis(900));
  const http_response answer = world.SendRequest(verb::put, "/pay/1");
  CHECK(answer.result_int() == 504);
  CHECK(answer["X-Response-Seal"] == "1");
}

// Returns what `action` writes to standard output.
std::string OutputOf(const std::function<void()>& action) {
  std::FILE* const file = std::tmpfile();
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(::fileno(file), STDOUT_FILENO);
  action();
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  std::string text(4096, '\0');
  std::rewind(file);
  text.resize(std::fread(text.data(), 1, text.size(), file));
  std::fclose(file);
  return text;
}

// A node exited with a request in flight and recorded that only in a counter,
// which was lost with the process.
TEST_CASE("an invariant breach is counted and logged with its request") {
  SetBreachesFatal(true);
  front_world world;
  const uint64_t before = Breaches(invariant::kGracefulShutdown);
  const std::string output_if_held = OutputOf([&world] {
    world.node->Verify(true, invariant::kGracefulShutdown, "r8");
  });
  CHECK(output_if_held.empty());
  const std::string output_if_broken = OutputOf([&world] {
    CHECK_THROWS_AS(
        world.node->Verify(false, invariant::kGracefulShutdown, "r9"),
        invariant_error);
  });
  CHECK(output_if_broken.find("promise_broken") != std::string::npos);
  CHECK(output_if_broken.find("graceful_shutdown") != std::string::npos);
  CHECK(output_if_broken.find("r9") != std::string::npos);
  CHECK(Breaches(invariant::kGracefulShutdown) == before + 1);
}

}  // namespace
}  // namespace peridotarch
