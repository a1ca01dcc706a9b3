// Handlers that are queued when what they refer to ends.
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "front_world.h"
#include "proxy/guarded_timer.h"
#include "stopped_clock.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;
namespace asio = boost::asio;

/// An instance that answers only when it is told to.
class held_instance {
 public:
  explicit held_instance(front_world& world)
      : acceptor_(world.context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(world.context, Accept(), asio::detached);
    world.AddEntry(world.MakeEntry("held", acceptor_.local_endpoint().port()));
  }

  /// Writes the answer at once, without a turn of the event loop.
  void Answer(const std::string& id, const std::string& body) {
    asio::write(*socket_, asio::buffer(InstanceAnswer(
                              id, 200, body, "X-Response-Seal: 1\r\n")));
  }

  int received = 0;

 private:
  awaitable<void> Accept() {
    socket_ = co_await acceptor_.async_accept(asio::use_awaitable);
    boost::beast::flat_buffer buffer;
    http_request request;
    co_await boost::beast::http::async_read(*socket_, buffer, request,
                                            asio::use_awaitable);
    ++received;
  }

  asio::ip::tcp::acceptor acceptor_;
  std::optional<asio::ip::tcp::socket> socket_;
};

// Polls, since the time that a run is given does not end while the clock
// stands.
void PollUntil(asio::io_context& context, const std::function<bool()>& done) {
  constexpr int kMaxPolls = 2'000;
  for (int i = 0; i < kMaxPolls && !done(); ++i) {
    context.poll();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

// The request ended in the turn of the event loop in which its timer for a slow
// attempt expired, and the timer's handler used the freed request.
TEST_CASE("slow attempt: its handler does not outlive the request") {
  const millis longer_than_slow_after(400);
  for (const std::string& body : {std::string(), std::string("body")}) {
    INFO("body: " << body);
    stopped_clock clock;
    front_world world;
    world.AddRoute("/box/", true, millis(20), millis(3'000));
    held_instance instance(world);
    std::optional<http_response> answer;
    world.StartRequest(
        verb::get, "/box/1", "r1",
        [&answer](const http_response& received) { answer = received; });
    PollUntil(world.context, [&instance] { return instance.received == 1; });
    REQUIRE(instance.received == 1);
    instance.Answer("r1", body);
    clock.Advance(world.context, longer_than_slow_after);
    PollUntil(world.context, [&answer] { return answer.has_value(); });
    REQUIRE(answer.has_value());
    CHECK(answer->result_int() == 200);
    CHECK(answer->body() == body);
    // An answer with a body is read in two steps, and the handler runs between
    // them while the request is in progress.
    CHECK(world.node->selector.suspects() == (body.empty() ? 0 : 1));
  }
}

// A handler that is queued already runs in spite of a cancellation.
TEST_CASE("timer: an action that is dropped in the turn it is due never runs") {
  asio::io_context context;
  int early_calls = 0;
  int late_calls = 0;
  int expected_late_calls = 0;
  guarded_timer first(context.get_executor());
  auto second = std::make_unique<guarded_timer>(context.get_executor());
  const std::function<void()> count_early = [&early_calls] { ++early_calls; };
  std::function<void()> drop;
  SECTION("stopped") {
    drop = [&second] { CHECK(second->Stop()); };
  }
  SECTION("started anew") {
    expected_late_calls = 1;
    drop = [&second, &late_calls] {
      second->Start(millis(1), [&late_calls] { ++late_calls; });
    };
  }
  SECTION("destroyed") {
    drop = [&second] { second.reset(); };
  }
  first.Start(millis(1), drop);
  second->Start(millis(2), count_early);
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  context.run();
  CHECK(early_calls == 0);
  CHECK(late_calls == expected_late_calls);
}

TEST_CASE("timer: an action runs once, and may start or destroy its timer") {
  asio::io_context context;
  int calls = 0;
  auto timer = std::make_unique<guarded_timer>(context.get_executor());
  timer->Start(millis(1), [&] {
    ++calls;
    timer->Start(millis(1), [&] {
      ++calls;
      CHECK_FALSE(timer->Stop());
      timer.reset();
    });
  });
  context.run();
  CHECK(calls == 2);
}

}  // namespace
}  // namespace peridotarch
