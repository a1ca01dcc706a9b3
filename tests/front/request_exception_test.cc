// Exceptions that nothing expected, in a request.
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "core/task_failure.h"
#include "front_world.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

// Returns the answer to an unsafe request for which the node throws at
// `thrown_at`, and which an instance has run or not.
http_response AnswerAfterThrow(load_change thrown_at, int expected_runs) {
  front_world world;
  world.AddRoute("/pay/", false);
  const raw_server& instance = world.AddInstance(SoundAnswer);
  bool throws = true;
  world.node->on_load_change = [&throws, thrown_at](load_change change,
                                                    instance_key) {
    if (throws && change == thrown_at) {
      throw std::logic_error("not foreseen");
    }
  };
  const uint64_t failures = TaskFailures()["request"];
  http_response answer = world.SendRequest(verb::put, "/pay/1");
  CHECK(instance.served == expected_runs);
  CHECK(TaskFailures()["request"] == failures + 1);
  throws = false;
  CHECK(world.SendRequest(verb::put, "/pay/2", "r2").result_int() == 200);
  CHECK(world.node->in_flight == 0);
  CHECK(world.node->selector.MakeReport(boot_clock::Now()).load.empty());
  return answer;
}

// The caller got no answer until its own timeout, and the slot at the instance
// was never freed.
TEST_CASE(
    "exception in a request: the caller is told whether it may have run") {
  SECTION("before anything was sent") {
    const http_response answer = AnswerAfterThrow(load_change::kSlotTaken, 0);
    CHECK(answer.result_int() == 503);
    CHECK(answer["X-Request-Id"] == "r1");
    CHECK(std::stod(std::string(answer["Retry-After"])) > 0);
  }
  SECTION("after the instance's answer") {
    const http_response answer = AnswerAfterThrow(load_change::kSlotFreed, 1);
    CHECK(answer.result_int() == 500);
    CHECK(answer["X-Request-Id"] == "r1");
    CHECK(answer["X-Response-Seal"].empty());
  }
}

// The exception left the exchange after the request had been written.
TEST_CASE("exception in a request: one that was sent may have run") {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance(SoundAnswer);
  world.node->pool.on_notice = [](const instance_entry&, const answer_notice&) {
    throw std::logic_error("not foreseen");
  };
  CHECK(world.SendRequest(verb::put, "/pay/1").result_int() == 500);
}

}  // namespace
}  // namespace peridotarch
