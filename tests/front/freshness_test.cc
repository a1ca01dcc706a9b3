// Requests with keys run only while the node knows that none was withdrawn.
#include <catch2/catch.hpp>

#include "front/freshness_exchange.h"
#include "reporting_node.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

/// A node at an address of its own that asks its peers for proofs.
struct asking_node {
  asking_node(front_world& world, const char* address, uint16_t port,
              const fleet_config& config) {
    node_settings settings;
    settings.zone = "a";
    settings.callers = {address, 1};
    settings.peer_port = port;
    settings.max_config_age = millis(5'000);
    node = std::make_shared<front_node>(world.context, settings, port);
    node->routes.Store(std::make_shared<const route_index>(config));
    reporter = std::make_shared<peer_reporter>(node);
    std::make_shared<freshness_exchange>(node)->Start();
    reporter->Start([](const peer_ahead&) {});
  }

  [[nodiscard]] bool IsFresh() const {
    return node->freshness.IsFresh(boot_clock::Now());
  }

  std::shared_ptr<front_node> node;
  std::shared_ptr<peer_reporter> reporter;
};

fleet_config ConfigWithTeam(uint64_t version) {
  fleet_config config;
  config.version = version;
  config.teams = {{"red", {Sha256("key")}, {}, 0, 0}};
  return config;
}

TEST_CASE("withdrawn keys: a peer's proof counts with its age") {
  front_world world;
  const uint16_t port = FreePort(world.context);
  asking_node asks(world, kOwnAddress, port, ConfigWithTeam(7));
  asking_node answers(world, "127.0.0.12", port, ConfigWithTeam(7));
  asks.reporter->AddPeer({"127.0.0.12", port});
  world.RunUntil([] { return false; }, millis(100));
  CHECK_FALSE(asks.IsFresh());  // the peer has no proof either
  const millis proved_at = boot_clock::Now() - millis(2'000);
  answers.node->freshness.NoteProof(proved_at, 7, 7);
  world.RunUntil([&asks] { return asks.IsFresh(); });
  REQUIRE(asks.IsFresh());
  CHECK(*asks.node->freshness.AgeAt(boot_clock::Now()) >= millis(2'000));
}

// A node that lacks the newest version must not serve by its own, which may
// hold a key that was withdrawn since.
TEST_CASE("withdrawn keys: the proof of a newer version waits for it") {
  front_world world;
  const uint16_t port = FreePort(world.context);
  asking_node asks(world, kOwnAddress, port, ConfigWithTeam(7));
  asking_node answers(world, "127.0.0.12", port, ConfigWithTeam(8));
  answers.node->freshness.NoteProof(boot_clock::Now(), 8, 8);
  asks.reporter->AddPeer({"127.0.0.12", port});
  world.RunUntil([&asks] { return asks.IsFresh(); }, millis(300));
  CHECK_FALSE(asks.IsFresh());
  asks.node->freshness.NoteVersion(8);
  CHECK(asks.IsFresh());
}

TEST_CASE("withdrawn keys: a node without proof refuses and is not ready") {
  node_settings settings;
  settings.max_config_age = millis(5'000);
  front_world world(settings);
  world.AddTeam("red", "key");
  world.AddRoute("/box/", false);
  world.AddOpenRoute("/open/");
  world.AddInstance(SoundAnswer);
  world.caller_headers = {{"X-Api-Key", "key"}};
  const http_response refused = world.SendRequest(verb::put, "/box/1");
  CHECK(refused.result_int() == 503);
  CHECK(std::stod(std::string(refused["Retry-After"])) > 0);
  CHECK(world.SendRequest(verb::put, "/open/1").result_int() == 200);
  CHECK_FALSE(world.node->Ready());
  const config_version version = world.node->ConfigVersion();
  world.node->freshness.NoteProof(boot_clock::Now(), version, version);
  CHECK(world.SendRequest(verb::put, "/box/1").result_int() == 200);
  CHECK(world.node->Ready());
  world.caller_headers = {{"X-Api-Key", "other"}};
  CHECK(world.SendRequest(verb::put, "/box/1").result_int() == 401);
}

// A key that has another holder by now named the team that it had before.
TEST_CASE("withdrawn keys: an outdated node names no team on an open route") {
  node_settings settings;
  settings.max_config_age = millis(5'000);
  front_world world(settings);
  std::vector<std::string> named;
  world.AddTeam("red", "key");
  world.AddOpenRoute("/open/");
  world.AddInstance([&named](const http_request& request) {
    named.emplace_back(request["X-Tenant"]);
    return SoundAnswer(request);
  });
  world.caller_headers = {{"X-Api-Key", "key"}, {"X-Tenant", "blue"}};
  CHECK(world.SendRequest(verb::put, "/open/1").result_int() == 200);
  const config_version version = world.node->ConfigVersion();
  world.node->freshness.NoteProof(boot_clock::Now(), version, version);
  CHECK(world.SendRequest(verb::put, "/open/1").result_int() == 200);
  CHECK(named == std::vector<std::string>{"", "red"});
}

}  // namespace
}  // namespace peridotarch
