#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "front/store_watch.h"
#include "front_world.h"
#include "store_fixture.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;

// Accepts connections and never answers.
class silent_server {
 public:
  explicit silent_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

  [[nodiscard]] uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
};

bool IsConfigRead(const http_request& request) {
  return request.target().find("keyed.op") != std::string_view::npos;
}

// The answer of a mirror at offset 9 that knows no instance.
std::string NoInstancesAnswer() {
  return OkAnswer(nlohmann::json{
      {"items", nlohmann::json::array()},
      {"has_more", false},
      {"end_offset",
       9}}.dump());
}

// Answers as a store that rejects all calls while `rejects` is set.
raw_server::handler RejectsIf(const bool& rejects) {
  return [&rejects](const http_request& request) {
    return rejects ? "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"
                   : AnswerAsStore(request);
  };
}

// Runs a node until it has version 4 and an instance from the store; from then
// on it leaves the reads of the store to others.
std::shared_ptr<front_node> StartDelegatingNode(front_world& world,
                                                uint16_t store, uint16_t peer,
                                                store_watch** watch) {
  const auto node = MakeNode(world.context, store, peer);
  const auto started = std::make_shared<store_watch>(node);
  started->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->Ready(); });
  REQUIRE(node->Ready());
  node->must_read_store = [] { return false; };
  // Longer than the pause between two reads of the store.
  world.RunUntil([] { return false; }, millis(700));
  *watch = started.get();
  return node;
}

// Bounds on a version and on a leaving count from the store's acknowledgement.
constexpr millis kBound(2'000);

// Nodes asked their peers again and again and stayed behind for the rest of the
// day, since no answer came in time and they never asked the store (issue 28).
TEST_CASE("peers do not answer: a node reads a newer version at the store") {
  front_world world;
  std::string config = kConfig;
  raw_server store(world.context, [&config](const http_request& request) {
    const bool newest =
        request.target().find("log-newest") != std::string_view::npos;
    return newest && IsConfigRead(request) ? NewestAnswer("config", config)
                                           : AnswerAsStore(request);
  });
  silent_server peer(world.context);
  store_watch* watch = nullptr;
  const auto node =
      StartDelegatingNode(world, store.port(), peer.port(), &watch);
  config = ConfigOf(5);
  node->reads_store = false;
  int announced = 0;
  node->on_load_change = [&announced](load_change change, instance_key) {
    announced += change == load_change::kRecordsChanged ? 1 : 0;
  };
  watch->CatchUp({"127.0.0.1", 5, 0, false});
  world.RunUntil([&node] { return node->ConfigVersion() == 5; }, kBound);
  CHECK(node->ConfigVersion() == 5);
  CHECK_FALSE(node->reads_store);
  // It is one of many that read for themselves alone.
  CHECK(announced == 0);
}

// The node left the reads to others once a late read had failed, and held back
// removals as in an outage that was over (hunt on smsvt-gateway, DRAIN).
TEST_CASE("a reader that the store has refused reads on until it succeeds") {
  front_world world;
  bool rejects = false;
  raw_server store(world.context, RejectsIf(rejects));
  raw_server peer(world.context,
                  [](const http_request&) { return NoInstancesAnswer(); });
  const auto node = MakeNode(world.context, store.port(), peer.port());
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->Ready(); });
  REQUIRE(node->Ready());
  node->live_nodes = 2;  // it does not turn to a seed
  rejects = true;
  world.RunUntil([&node] { return !node->reads_store; });
  REQUIRE_FALSE(node->reads_store);
  node->must_read_store = [] { return false; };
  world.RunUntil([] { return false; }, millis(1'500));
  rejects = false;
  world.RunUntil([] { return false; }, millis(1'500));
  const millis announced_at = boot_clock::Now();
  watch->CatchUp({"127.0.0.1", 4, 9, false});
  world.RunUntil(
      [&node] { return node->selector.Find(KeyOf("i-1")) == nullptr; });
  CHECK(node->selector.Find(KeyOf("i-1")) == nullptr);
  CHECK(boot_clock::Now() - announced_at < millis(500));
}

// Many late nodes may be rejected at once. That is no outage of the store.
TEST_CASE("a late node that the store rejects still drops what has left") {
  front_world world;
  bool rejects = false;
  raw_server store(world.context, RejectsIf(rejects));
  bool answers = false;
  raw_server peer(world.context, [&answers](const http_request&) {
    return answers ? NoInstancesAnswer() : std::string();
  });
  store_watch* watch = nullptr;
  const auto node =
      StartDelegatingNode(world, store.port(), peer.port(), &watch);
  rejects = true;
  watch->CatchUp({"127.0.0.1", 4, 9, false});
  world.RunUntil([] { return false; }, millis(1'200));
  answers = true;
  const millis announced_at = boot_clock::Now();
  watch->CatchUp({"127.0.0.1", 4, 9, false});
  world.RunUntil(
      [&node] { return node->selector.Find(KeyOf("i-1")) == nullptr; });
  CHECK(node->selector.Find(KeyOf("i-1")) == nullptr);
  CHECK(boot_clock::Now() - announced_at < millis(500));
}

// The instances were read after the configuration, so a leaving became known
// late while the configuration timed out (issue 28).
TEST_CASE("a configuration that does not come does not delay the instances") {
  front_world world;
  raw_server store(world.context, AnswerAsStore);
  raw_server peer(world.context, [](const http_request& request) {
    if (IsConfigRead(request)) {
      // A body that is never complete.
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{");
    }
    return NoInstancesAnswer();
  });
  store_watch* watch = nullptr;
  const auto node =
      StartDelegatingNode(world, store.port(), peer.port(), &watch);
  const millis announced_at = boot_clock::Now();
  watch->CatchUp({"127.0.0.1", 5, 9, false});
  world.RunUntil([&node] { return node->instances_offset == 9; });
  CHECK(node->instances_offset == 9);
  CHECK(boot_clock::Now() - announced_at < millis(500));
  CHECK(node->selector.Find(KeyOf("i-1")) == nullptr);
}

// A node that reads on record by record gets every version that it has missed.
TEST_CASE("the store holds more than one answer: a node reads the newest") {
  front_world world;
  int reads_of_newest = 0;
  raw_server store(world.context, [&](const http_request& request) {
    if (!IsConfigRead(request)) {
      return AnswerAsStore(request);
    }
    if (request.target().find("log-read") == std::string_view::npos) {
      ++reads_of_newest;
      return NewestAnswer("config", ConfigOf(3 + reads_of_newest));
    }
    std::string page(16, '\0');
    page[7] = reads_of_newest == 1 ? 100 : 7;  // the end of the topic
    return OkAnswer(page);
  });
  const auto node = MakeNode(world.context, store.port(), 1);
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->ConfigVersion() == 5; });
  CHECK(node->ConfigVersion() == 5);
  CHECK(reads_of_newest == 2);
}

}  // namespace
}  // namespace peridotarch
