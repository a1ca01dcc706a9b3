// Instances that say that they are leaving, and instances that want no request
// for some time.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "front_world.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

constexpr const char* kDigestHeader = "X-Response-Seal: 1.2.3\r\n";
const std::string kLeaving = "Server-Leaving: 1\r\n";
const std::string kNotExecuted = "X-Not-Executed: 1\r\n";

std::string GoodAnswer(const http_request& request) {
  return InstanceAnswer(RequestId(request), 200, "body", kDigestHeader);
}

std::string LeavingAnswer(const http_request& request) {
  return InstanceAnswer(RequestId(request), 200, "body",
                        kDigestHeader + kLeaving);
}

void SetEntries(front_world& world, const std::vector<instance_entry>& list) {
  world.node->selector.SetInstances(list, boot_clock::Now());
}

double RetryAfterSeconds(const http_response& answer) {
  REQUIRE(answer.count("Retry-After") == 1);
  return std::stod(std::string(answer["Retry-After"]));
}

// Requests went on to an instance that had said in its answers that it was
// leaving, until the store listed it as draining.
TEST_CASE("leaving: an answer of any kind ends the requests to an instance") {
  front_world world;
  world.AddRoute("/pay/", false);
  verb method = verb::put;
  std::string bytes;
  SECTION("200") {
    bytes = InstanceAnswer("r1", 200, "body", kDigestHeader + kLeaving);
  }
  SECTION("204") {
    bytes = "HTTP/1.1 204 Word\r\nX-Request-Id: r1\r\n" + kLeaving +
            kDigestHeader + "\r\n";
  }
  SECTION("HEAD") {
    method = verb::head;
    bytes = InstanceAnswer("r1", 200, "", kDigestHeader + kLeaving);
  }
  SECTION("404") { bytes = InstanceAnswer("r1", 404, "", kLeaving); }
  SECTION("500") { bytes = InstanceAnswer("r1", 500, "", kLeaving); }
  SECTION("503 that ran") { bytes = InstanceAnswer("r1", 503, "", kLeaving); }
  SECTION("503 that did not run") {
    bytes = InstanceAnswer("r1", 503, "", kLeaving + kNotExecuted);
  }
  SECTION("informational answer before the answer") {
    bytes = "HTTP/1.1 102 Processing\r\n" + kLeaving + "\r\n" +
            InstanceAnswer("r1", 200, "body", kDigestHeader);
  }
  SECTION("answer that is cut off after its head") {
    bytes = "HTTP/1.1 200 Word\r\nX-Request-Id: r1\r\n" + kLeaving +
            "Transfer-Encoding: chunked\r\n\r\nnot a chunk\r\n";
  }
  raw_server& instance =
      world.AddInstance([&bytes](const http_request&) { return bytes; });
  const http_response first = world.SendRequest(method, "/pay/1");
  CHECK(first.count("Server-Leaving") == 0);
  bytes = InstanceAnswer("r1", 200, "body", kDigestHeader);
  const http_response second = world.SendRequest(verb::put, "/pay/1");
  CHECK(second.result_int() == 503);
  CHECK(RetryAfterSeconds(second) > 0);
  CHECK(instance.served == 1);
}

TEST_CASE("leaving: other values of the header say nothing") {
  front_world world;
  world.AddRoute("/pay/", false);
  const std::string value = GENERATE("0", "", "true", "11", "-1");
  raw_server& instance = world.AddInstance([&](const http_request& request) {
    return InstanceAnswer(
        RequestId(request), 200, "body",
        kDigestHeader + ("Server-Leaving: " + value) + "\r\n");
  });
  world.SendRequest(verb::put, "/pay/1");
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  CHECK(instance.served == 2);
}

TEST_CASE("leaving: the other instances serve the requests") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& leaving = world.AddInstance(LeavingAnswer);
  world.SendRequest(verb::put, "/pay/1");
  raw_server& other = world.AddInstance(GoodAnswer);
  for (int i = 0; i < 10; ++i) {
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  }
  CHECK(leaving.served == 1);
  CHECK(other.served == 10);
}

// The store may be away, may list the instance as ready or not at all, and may
// list it once more after an outage.
TEST_CASE("leaving: it lasts until a new start, whatever the store lists") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& instance = world.AddInstance(LeavingAnswer);
  instance_entry entry = front_world::MakeEntry("i-1", instance.port());
  entry.started_at = 1'000;
  entry.sequence = 5;
  SetEntries(world, {entry});
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  const auto status = [&world](const std::vector<instance_entry>& list) {
    SetEntries(world, list);
    return world.SendRequest(verb::put, "/pay/1").result_int();
  };
  ++entry.sequence;
  CHECK(status({entry}) == 503);
  CHECK(status({}) == 503);
  CHECK(status({entry}) == 503);
  instance_entry older = entry;
  older.started_at = 900;
  CHECK(status({older}) == 503);
  CHECK(status({entry}) == 503);
  CHECK(instance.served == 1);
  entry.started_at = 1'001;
  CHECK(status({entry}) == 200);
  CHECK(instance.served == 2);
}

TEST_CASE("leaving: another instance at the same address is free at once") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& instance = world.AddInstance(LeavingAnswer);
  world.SendRequest(verb::put, "/pay/1");
  SetEntries(world, {front_world::MakeEntry("i-9", instance.port())});
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  CHECK(instance.served == 2);
}

// A 421 comes from the instance that has the address now.
TEST_CASE("leaving: a 421 concerns the instance that is listed there") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& server = world.AddInstance([](const http_request& request) {
    const bool is_meant = request["X-Expect-Instance"] == "i-2";
    return is_meant ? GoodAnswer(request)
                    : InstanceAnswer(RequestId(request), 421, "",
                                     kLeaving + kNotExecuted);
  });
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() != 200);
  const instance_entry other = front_world::MakeEntry("i-2", server.port());
  SECTION("the instance was not listed yet") {
    SetEntries(world, {other});
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  }
  SECTION("the instance was listed") {
    SetEntries(world, {front_world::MakeEntry("i-3", server.port()), other});
    // The first attempt may go to i-3, whose answer comes from i-2.
    for (int i = 0; i < 3; ++i) {
      world.SendRequest(verb::put, "/pay/1");
    }
    const int served = server.served;
    SetEntries(world, {front_world::MakeEntry("i-3", server.port())});
    CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 503);
    CHECK(server.served <= served + 1);
  }
}

// A caller of a service whose only instance had asked for a pause was sent to
// it all the same.
TEST_CASE("resting: no request until then, callers are refused at once") {
  front_world world;
  world.AddRoute("/pay/", false);
  const bool ran = GENERATE(true, false);
  raw_server& instance = world.AddInstance([ran](const http_request& request) {
    return InstanceAnswer(
        RequestId(request), 503, "",
        "Retry-After: 0.5\r\n" + (ran ? std::string() : kNotExecuted));
  });
  const millis started_at = boot_clock::Now();
  const http_response first = world.SendRequest(verb::put, "/pay/1");
  CHECK(first.result_int() == (ran ? 502 : 503));
  for (int i = 0; i < 5; ++i) {
    const http_response refused = world.SendRequest(verb::put, "/pay/1");
    const double elapsed =
        static_cast<double>((boot_clock::Now() - started_at).count()) / 1'000;
    CHECK(refused.result_int() == 503);
    CHECK(RetryAfterSeconds(refused) >= 0.5 - elapsed);
    CHECK(RetryAfterSeconds(refused) < 2);
  }
  CHECK(boot_clock::Now() - started_at < millis(450));
  CHECK(instance.served == 1);
}

TEST_CASE("resting: the instance gets requests again when the time is over") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server* instance = nullptr;
  instance = &world.AddInstance([&instance](const http_request& request) {
    return instance->served > 1
               ? GoodAnswer(request)
               : InstanceAnswer(RequestId(request), 503, "",
                                kNotExecuted + "Retry-After: 0.1\r\n");
  });
  world.SendRequest(verb::put, "/pay/1");
  const millis end = boot_clock::Now() + millis(200);
  world.RunUntil([end] { return boot_clock::Now() >= end; });
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
}

TEST_CASE("resting: a refusal by all instances names the earliest return") {
  front_world world;
  world.AddRoute("/tally/", true);
  for (const std::string seconds : {"0.6", "0.4"}) {
    world.AddInstance([seconds](const http_request& request) {
      return InstanceAnswer(RequestId(request), 503, "",
                            kNotExecuted + "Retry-After: " + seconds + "\r\n");
    });
  }
  const http_response refused = world.SendRequest(verb::get, "/tally/1");
  CHECK(refused.result_int() == 503);
  CHECK(RetryAfterSeconds(refused) >= 0.3);
  CHECK(RetryAfterSeconds(refused) < 0.6);
}

TEST_CASE("resting: a value that is no number of seconds says nothing") {
  front_world world;
  world.AddRoute("/pay/", false);
  const std::string value =
      GENERATE("", "soon", "-5", "+5", "nan", "inf", "1e3", "0x5", ".", "5 s",
               "1.2.3", "5,5", "0", "0.0", "Sat, 05 Dec 2026 12:00:00 GMT");
  raw_server& instance = world.AddInstance([&](const http_request& request) {
    return InstanceAnswer(RequestId(request), 503, "",
                          kNotExecuted + "Retry-After: " + value + "\r\n");
  });
  world.SendRequest(verb::put, "/pay/1");
  world.SendRequest(verb::put, "/pay/1");
  CHECK(instance.served == 2);
}

// Only the first of two headers was read, even if it could not be.
TEST_CASE("resting: the longest of two readable headers counts") {
  front_world world;
  world.AddRoute("/pay/", false);
  const std::string headers =
      GENERATE("Retry-After: 0.1\r\nRetry-After: 5\r\n",
               "Retry-After: 5\r\nRetry-After: 0.1\r\n",
               "Retry-After: soon\r\nRetry-After: 5\r\n");
  raw_server& instance = world.AddInstance([&](const http_request& request) {
    return InstanceAnswer(RequestId(request), 503, "", kNotExecuted + headers);
  });
  world.SendRequest(verb::put, "/pay/1");
  const http_response refused = world.SendRequest(verb::put, "/pay/1");
  CHECK(RetryAfterSeconds(refused) > 4.5);
  CHECK(instance.served == 1);
}

TEST_CASE("resting: a Retry-After on another status says nothing") {
  front_world world;
  world.AddRoute("/pay/", false);
  const int status = GENERATE(200, 429, 500);
  raw_server& instance = world.AddInstance([status](const http_request& asked) {
    return InstanceAnswer(RequestId(asked), status, "",
                          kDigestHeader + std::string("Retry-After: 5\r\n") +
                              (status == 429 ? kNotExecuted : std::string()));
  });
  world.SendRequest(verb::put, "/pay/1");
  world.SendRequest(verb::put, "/pay/1");
  CHECK(instance.served == 2);
}

TEST_CASE("resting: a longer rest than a minute is cut to a minute") {
  front_world world;
  world.AddRoute("/pay/", false);
  const std::string value =
      GENERATE(std::string("86400"), "1" + std::string(400, '0'));
  raw_server& instance = world.AddInstance([&](const http_request& request) {
    return InstanceAnswer(RequestId(request), 503, "",
                          kNotExecuted + "Retry-After: " + value + "\r\n");
  });
  world.SendRequest(verb::put, "/pay/1");
  const http_response refused = world.SendRequest(verb::put, "/pay/1");
  CHECK(refused.result_int() == 503);
  CHECK(RetryAfterSeconds(refused) > 55);
  CHECK(RetryAfterSeconds(refused) < 62);
  CHECK(instance.served == 1);
}

// The instance may say so to another request while a connection is opened.
TEST_CASE("a request that is not written yet goes to another instance") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& one = world.AddInstance(GoodAnswer);
  raw_server& two = world.AddInstance(GoodAnswer);
  std::string first;
  world.node->pool.may_send = [&first](const instance_entry& instance) {
    const bool is_first = first.empty();
    first = is_first ? instance.id : first;
    return !is_first;
  };
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  CHECK(one.served + two.served == 1);
  CHECK((first == "i-1" ? one : two).served == 0);
  CHECK(world.node->selector.suspects() == 0);
}

// A request reached an instance whose leaving this node had read from the store
// while it opened the connection.
TEST_CASE("the store's list is asked again before a request is written") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& one = world.AddInstance(GoodAnswer);
  raw_server& two = world.AddInstance(GoodAnswer);
  const std::string change = GENERATE("draining", "gone", "moved");
  std::string first;
  const auto ask = world.node->pool.may_send;
  world.node->pool.may_send = [&](const instance_entry& chosen) {
    if (first.empty()) {
      first = chosen.id;
      std::vector<instance_entry> list = {
          front_world::MakeEntry("i-1", one.port()),
          front_world::MakeEntry("i-2", two.port())};
      const size_t at = first == "i-1" ? 0 : 1;
      list[at].draining = change == "draining";
      if (change == "moved") {
        ++list[at].port;
      }
      if (change == "gone") {
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(at));
      }
      SetEntries(world, list);
    }
    return ask(chosen);
  };
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 200);
  CHECK((first == "i-1" ? one : two).served == 0);
  CHECK(one.served + two.served == 1);
  CHECK(world.node->selector.suspects() == 0);
}

// An idle connection keeps a slot of the instance's connections.
TEST_CASE("leaving: idle connections are closed and the peers are told once") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& instance = world.AddInstance(GoodAnswer);
  world.SendRequest(verb::put, "/pay/1");
  REQUIRE(instance.open_connections == 1);
  int told = 0;
  world.node->on_load_change = [&told](load_change change, instance_key key) {
    told += change == load_change::kHealthEvidence ? 1 : 0;
    CHECK(key == KeyOf("i-1"));
  };
  answer_notice leaving;
  leaving.leaving = true;
  const instance_entry entry = front_world::MakeEntry("i-1", instance.port());
  world.node->pool.on_notice(entry, leaving);
  world.node->pool.on_notice(entry, leaving);
  world.RunUntil([&instance] { return instance.open_connections == 0; });
  CHECK(instance.open_connections == 0);
  CHECK(told == 1);
}

TEST_CASE("leaving: a report of a peer closes the idle connections too") {
  front_world world;
  world.AddRoute("/pay/", false);
  raw_server& instance = world.AddInstance(GoodAnswer);
  world.SendRequest(verb::put, "/pay/1");
  int told = 0;
  world.node->on_load_change = [&told](load_change, instance_key) { ++told; };
  load_report report;
  report.incarnation = 1;
  report.number = 1;
  report.outcomes = {{1, KeyOf("i-1"), attempt_outcome::kLeaving, millis(0)}};
  world.node->selector.Apply("peer", report, boot_clock::Now());
  world.node->LogHealthChanges();
  world.RunUntil([&instance] { return instance.open_connections == 0; });
  CHECK(instance.open_connections == 0);
  CHECK(told == 0);
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 503);
  CHECK(instance.served == 1);
}

}  // namespace
}  // namespace peridotarch
