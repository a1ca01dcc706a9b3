#include <catch2/catch.hpp>

#include "core/invariant.h"
#include "front_world.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

constexpr const char* kDigestHeader = "X-Response-Seal: 1.2.3\r\n";

std::string GoodAnswer(const http_request& request) {
  return InstanceAnswer(RequestId(request), 200, "body", kDigestHeader);
}

// After a restart of all nodes their callers connect at once, and a refused
// one would return only after half a second.
TEST_CASE("restart of all nodes: requests wait for the first records") {
  front_world world;
  boost::asio::steady_timer records(world.context,
                                    std::chrono::milliseconds(60));
  records.async_wait([&world](const auto&) {
    world.AddRoute("/tally/", true);
    world.AddInstance(GoodAnswer);
  });
  const auto answer = world.SendRequest(verb::get, "/tally/1");
  CHECK(answer.result_int() == 200);
}

TEST_CASE(
    "a request reaches an instance and the caller gets its whole answer") {
  front_world world;
  world.AddRoute("/box/", false);
  http_request seen;
  world.AddInstance([&seen](const http_request& request) {
    seen = request;
    return GoodAnswer(request);
  });
  const http_response answer = world.SendRequest(verb::post, "/box/1?x=2");
  CHECK(answer.result_int() == 200);
  CHECK(answer.body() == "body");
  CHECK(answer["X-Response-Seal"] == "1.2.3");
  CHECK(seen.target() == "/box/1?x=2");
  CHECK(seen["X-Request-Id"] == "r1");
  CHECK(seen["X-Expect-Instance"] == "i-1");
  CHECK(std::stoi(std::string(seen["X-Deadline-Ms"])) <= 900);
}

TEST_CASE("a request that cannot be served is refused at once") {
  front_world world;
  CHECK(world.SendRequest(verb::get, "/box/1").result_int() == 503);
  world.AddRoute("/box/", true);
  const http_response none = world.SendRequest(verb::get, "/box/1");
  CHECK(none.result_int() == 503);
  CHECK(std::stod(std::string(none["Retry-After"])) > 0);
  CHECK(world.SendRequest(verb::get, "/other/").result_int() == 404);
  CHECK(world.SendRequest(verb::get, "/box/1", "").result_int() == 400);
}

TEST_CASE("lost answer: a request that may have run is not retried") {
  SetBreachesFatal(true);
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& one =
      world.AddInstance([](const http_request&) { return std::string(); });
  raw_server& two =
      world.AddInstance([](const http_request&) { return std::string(); });
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 502);
  CHECK(one.served + two.served == 1);
}

TEST_CASE("lost answer: an idempotent request is retried at another instance") {
  front_world world;
  world.AddRoute("/tally/", true);
  int lost = 0;
  const auto first_lost = [&lost](const http_request& request) {
    return lost++ == 0 ? std::string() : GoodAnswer(request);
  };
  world.AddInstance(first_lost);
  world.AddInstance(first_lost);
  CHECK(world.SendRequest(verb::get, "/tally/1").result_int() == 200);
  CHECK(lost == 2);
}

TEST_CASE(
    "load shedding: a request that did not run is retried at another instance, "
    "then refused with Retry-After") {
  front_world world;
  world.AddRoute("/pay/", false);
  const auto shed = [](const http_request& request) {
    return InstanceAnswer(RequestId(request), 503, "", "X-Not-Executed: 1\r\n");
  };
  raw_server& one = world.AddInstance(shed);
  raw_server& two = world.AddInstance(shed);
  const http_response answer = world.SendRequest(verb::put, "/pay/1");
  CHECK(answer.result_int() == 503);
  CHECK(!answer["Retry-After"].empty());
  CHECK(one.served == 1);
  CHECK(two.served == 1);
}

TEST_CASE(
    "a 503 that does not state that the request did not run becomes a 502") {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance([](const http_request& request) {
    return InstanceAnswer(RequestId(request), 503, "", kDigestHeader);
  });
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 502);
}

TEST_CASE("malformed answers and answers to other requests are not delivered") {
  front_world world;
  world.AddRoute("/pay/", false);
  std::string bytes;
  world.AddInstance([&bytes](const http_request& request) {
    return bytes.empty() ? InstanceAnswer("other", 200, "old", kDigestHeader) +
                               GoodAnswer(request)
                         : bytes;
  });
  SECTION("no digest") {
    bytes = InstanceAnswer("r1", 200, "body");
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("encoded") {
    bytes = InstanceAnswer(
        "r1", 200, "body",
        std::string(kDigestHeader) + "Content-Encoding: gzip\r\n");
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("not HTTP") {
    bytes = "garbage\r\n\r\n";
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("an answer to another request comes first") {
    const http_response answer = world.SendRequest(verb::put, "/pay/1");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "body");
  }
}

TEST_CASE("bytes after an answer are not taken as the next answer") {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance([](const http_request& request) {
    return GoodAnswer(request) +
           InstanceAnswer("r2", 200, "wrong", kDigestHeader);
  });
  CHECK(world.SendRequest(verb::put, "/pay/1", "r1").body() == "body");
  CHECK(world.SendRequest(verb::put, "/pay/1", "r2").body() == "body");
}

TEST_CASE("silent instance: the caller gets an answer at its deadline") {
  front_world world;
  world.AddRoute("/pay/", false);
  boost::asio::ip::tcp::acceptor silent(
      world.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  instance_entry entry;
  entry.id = "i-silent";
  entry.service = "s";
  entry.address = "127.0.0.1";
  entry.port = silent.local_endpoint().port();
  const std::vector<instance_entry> entries = {entry};
  world.node->selector.SetInstances(entries, boot_clock::Now());
  const millis started_at = boot_clock::Now();
  const http_response answer = world.SendRequest(verb::put, "/pay/1");
  const millis elapsed = boot_clock::Now() - started_at;
  CHECK(answer.result_int() == 504);
  CHECK(elapsed >= millis(800));
  CHECK(elapsed <= millis(1'150));  // 250 ms past the deadline
}

// All instances of a service shed half of their requests for some seconds while
// they had free slots.
TEST_CASE("random shedding: the caller may return at once") {
  front_world world;
  world.AddRoute("/pay/", false);
  for (int i = 0; i < 2; ++i) {
    world.AddInstance([](const http_request& request) {
      return InstanceAnswer(RequestId(request), 503, "",
                            "X-Not-Executed: 1\r\n");
    });
  }
  const http_response refused = world.SendRequest(verb::put, "/pay/1");
  CHECK(refused.result_int() == 503);
  const double seconds = std::stod(std::string(refused["Retry-After"]));
  CHECK(seconds > 0.05);
  CHECK(seconds < 0.25);
}

// Requests with little time left made most instances of a service suspect.
TEST_CASE("a request with less time than its work says nothing of health") {
  front_world world;
  const bool is_long = GENERATE(true, false);
  world.AddRoute("/tally/", false, millis(is_long ? 2'000 : 100));
  boost::asio::ip::tcp::acceptor silent(
      world.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  instance_entry entry;
  entry.id = "i-silent";
  entry.service = "s";
  entry.address = "127.0.0.1";
  entry.zone = "a";
  entry.port = silent.local_endpoint().port();
  entry.slots = 3;
  world.AddEntry(entry);
  CHECK(world.SendRequest(verb::put, "/tally/1").result_int() == 504);
  CHECK(world.node->selector.suspects() == (is_long ? 0 : 1));
}

TEST_CASE(
    "silent instance: an idempotent request is retried at another instance "
    "within its deadline") {
  front_world world;
  world.AddRoute("/tally/", true);
  world.AddInstance(GoodAnswer);
  boost::asio::ip::tcp::acceptor silent(
      world.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  instance_entry entry;
  entry.id = "i-silent";
  entry.service = "s";
  entry.address = "127.0.0.1";
  entry.zone = "a";
  entry.port = silent.local_endpoint().port();
  world.AddEntry(entry);
  // The other instance's answers of a few milliseconds set the usual latency,
  // against which an attempt at the silent one is slow.
  for (int i = 0; i < 20; ++i) {
    CHECK(world.SendRequest(verb::get, "/tally/1").result_int() == 200);
  }
}

TEST_CASE(
    "unreachable instance: nothing was sent, so another instance serves the "
    "request") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& gone = world.AddInstance(GoodAnswer);
  world.AddInstance(GoodAnswer);
  gone.Stop();
  for (int i = 0; i < 5; ++i) {
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  }
}

}  // namespace
}  // namespace peridotarch
