#include <catch2/catch.hpp>

#include "core/invariant.h"
#include "front_world.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

constexpr const char* kDigest = "X-Response-Seal: 1.2.3\r\n";

std::string Good(const http_request& request) {
  return InstanceAnswer(IdOf(request), 200, "body", kDigest);
}

TEST_CASE("a request goes to an instance and its answer comes back whole") {
  front_world world;
  world.AddRoute("/box/", false);
  http_request seen;
  world.AddInstance([&seen](const http_request& request) {
    seen = request;
    return Good(request);
  });
  const http_response answer = world.Ask(verb::post, "/box/1?x=2");
  CHECK(answer.result_int() == 200);
  CHECK(answer.body() == "body");
  CHECK(answer["X-Response-Seal"] == "1.2.3");
  CHECK(seen.target() == "/box/1?x=2");
  CHECK(seen["X-Request-Id"] == "r1");
  CHECK(seen["X-Expect-Instance"] == "i-1");
  CHECK(std::stoi(std::string(seen["X-Deadline-Ms"])) <= 900);
}

TEST_CASE("what is known not to be servable is refused at once") {
  front_world world;
  CHECK(world.Ask(verb::get, "/box/1").result_int() == 503);
  world.AddRoute("/box/", true);
  const http_response none = world.Ask(verb::get, "/box/1");
  CHECK(none.result_int() == 503);
  CHECK(std::stod(std::string(none["Retry-After"])) > 0);
  CHECK(world.Ask(verb::get, "/other/").result_int() == 404);
  CHECK(world.Ask(verb::get, "/box/1", "").result_int() == 400);
}

TEST_CASE("answer lost: a request that may have run is not sent again") {
  SetBreachesFatal(true);
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& one =
      world.AddInstance([](const http_request&) { return std::string(); });
  raw_server& two =
      world.AddInstance([](const http_request&) { return std::string(); });
  CHECK(world.Ask(verb::put, "/pay/1").result_int() == 502);
  CHECK(one.served + two.served == 1);
}

TEST_CASE("answer lost: an idempotent request is served by another instance") {
  front_world world;
  world.AddRoute("/tally/", true);
  int lost = 0;
  const auto first_lost = [&lost](const http_request& request) {
    return lost++ == 0 ? std::string() : Good(request);
  };
  world.AddInstance(first_lost);
  world.AddInstance(first_lost);
  CHECK(world.Ask(verb::get, "/tally/1").result_int() == 200);
  CHECK(lost == 2);
}

TEST_CASE(
    "instances that shed: a refusal that has not run goes elsewhere, "
    "then says so") {
  front_world world;
  world.AddRoute("/pay/", false);
  const auto shed = [](const http_request& request) {
    return InstanceAnswer(IdOf(request), 503, "", "X-Not-Executed: 1\r\n");
  };
  raw_server& one = world.AddInstance(shed);
  raw_server& two = world.AddInstance(shed);
  const http_response answer = world.Ask(verb::put, "/pay/1");
  CHECK(answer.result_int() == 503);
  CHECK(!answer["Retry-After"].empty());
  CHECK(one.served == 1);
  CHECK(two.served == 1);
}

TEST_CASE("an instance's failure with a promising status is not passed on") {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance([](const http_request& request) {
    return InstanceAnswer(IdOf(request), 503, "", kDigest);
  });
  CHECK(world.Ask(verb::put, "/pay/1").result_int() == 502);
}

TEST_CASE("garbled answers: without a digest, cut short, of another request") {
  front_world world;
  world.AddRoute("/pay/", false);
  std::string bytes;
  world.AddInstance([&bytes](const http_request& request) {
    return bytes.empty()
               ? InstanceAnswer("other", 200, "old", kDigest) + Good(request)
               : bytes;
  });
  SECTION("no digest") {
    bytes = InstanceAnswer("r1", 200, "body");
    CHECK(world.Ask(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("encoded") {
    bytes = InstanceAnswer("r1", 200, "body",
                           std::string(kDigest) + "Content-Encoding: gzip\r\n");
    CHECK(world.Ask(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("not HTTP") {
    bytes = "garbage\r\n\r\n";
    CHECK(world.Ask(verb::put, "/pay/1").result_int() == 502);
  }
  SECTION("an answer to another request comes first") {
    const http_response answer = world.Ask(verb::put, "/pay/1");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "body");
  }
}

TEST_CASE("bytes after the answer are of no later request") {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance([](const http_request& request) {
    return Good(request) + InstanceAnswer("r2", 200, "wrong", kDigest);
  });
  CHECK(world.Ask(verb::put, "/pay/1", "r1").body() == "body");
  CHECK(world.Ask(verb::put, "/pay/1", "r2").body() == "body");
}

TEST_CASE("a silent instance: the caller has its answer at its deadline") {
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
  const millis begun = boot_clock::Now();
  const http_response answer = world.Ask(verb::put, "/pay/1");
  const millis taken = boot_clock::Now() - begun;
  CHECK(answer.result_int() == 504);
  CHECK(taken >= millis(800));
  CHECK(taken <= millis(1'150));  // a quarter of a second past the deadline
}

TEST_CASE(
    "an instance falls silent: an idempotent request goes to another "
    "one within its deadline") {
  front_world world;
  world.AddRoute("/tally/", true);
  world.AddInstance(Good);
  boost::asio::ip::tcp::acceptor silent(
      world.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  instance_entry entry;
  entry.id = "i-silent";
  entry.service = "s";
  entry.address = "127.0.0.1";
  entry.zone = "a";
  entry.port = silent.local_endpoint().port();
  world.AddEntry(entry);
  // Answers of a few milliseconds set what is usual.
  for (int i = 0; i < 20; ++i) {
    CHECK(world.Ask(verb::get, "/tally/1").result_int() == 200);
  }
}

TEST_CASE("unreachable instances are no sends: another one serves") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& gone = world.AddInstance(Good);
  world.AddInstance(Good);
  gone.Stop();
  for (int i = 0; i < 5; ++i) {
    CHECK(world.Ask(verb::put, "/pay/1").result_int() == 200);
  }
}

}  // namespace
}  // namespace peridotarch
