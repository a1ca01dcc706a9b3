#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "front/store_watch.h"
#include "front_world.h"
#include "platform/base64.h"
#include "store_fixture.h"

namespace peridotarch {
namespace {

const peer_ahead kPeerAhead{"127.0.0.1", UINT32_MAX, UINT32_MAX, false};

TEST_CASE("a node is ready once it has a configuration and the instances") {
  front_world world;
  raw_server store(world.context, AnswerAsStore);
  const auto node = MakeNode(world.context, store.port(), 1);
  const auto watch = std::make_shared<store_watch>(node);
  CHECK_FALSE(node->Ready());
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->Ready(); });
  CHECK(node->Ready());
  CHECK(node->routes.Load()->config().version == 4);
  CHECK(node->selector.size() == 1);
}

TEST_CASE(
    "store unreachable at the start: a node reads the records from a seed") {
  front_world world;
  raw_server store(world.context,
                   [](const http_request&) { return std::string(); });
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.records = {{"config", kConfig}};
  mirror.Take(kConfigTopic, page);
  page.records = {{"i-1", kEntry}};
  mirror.Take(kInstanceTopic, page);
  raw_server seed(world.context, [&mirror](const http_request& request) {
    return OkAnswer(mirror.Answer(request.target()).body());
  });
  const auto node = MakeNode(world.context, store.port(), seed.port());
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->Ready(); });
  CHECK(node->Ready());
  CHECK_FALSE(node->reads_store);
}

// A node that restarts finds its record in the store.
TEST_CASE("restart of a node: its record is written only if it is missing") {
  front_world world;
  bool has_record = false;
  int writes = 0;
  int lists = 0;
  raw_server store(world.context, [&](const http_request& request) {
    const std::string target(request.target());
    if (target.find("keyed.status") == std::string::npos) {
      return AnswerAsStore(request);
    }
    if (target.find("log-append") != std::string::npos) {
      ++writes;
      return OkAnswer(R"({"offset":0,"end_offset":1})");
    }
    ++lists;
    return has_record ? NewestAnswer("edge-1", R"({"address":"127.0.0.1:9"})")
                      : NewestAnswer("", "");
  });
  const auto node = MakeNode(world.context, store.port(), 1);
  node->settings.callers.host = "127.0.0.1";
  node->settings.peer_port = 9;
  const auto watch = std::make_shared<store_watch>(node);
  SECTION("it is there") {
    has_record = true;
    watch->Start([](const host_port&) {});
    world.RunUntil([&] { return lists > 0 && node->Ready(); });
    CHECK(lists == 1);
    CHECK(writes == 0);
  }
  SECTION("it is missing") {
    watch->Start([](const host_port&) {});
    world.RunUntil([&] { return lists > 1 && node->Ready(); });
    CHECK(lists == 2);
    CHECK(writes == 1);
  }
  SECTION("first start of the fleet") {
    node->settings.is_first_start = true;
    watch->Start([](const host_port&) {});
    world.RunUntil([&] { return lists > 0 && node->Ready(); });
    CHECK(lists == 1);
    CHECK(writes == 1);
  }
}

// Calls to the store cost money, and all nodes may start at the same moment.
TEST_CASE("restart of all nodes: a node gets the records from a peer") {
  front_world world;
  int record_reads = 0;
  raw_server store(world.context, [&record_reads](const http_request& request) {
    const std::string target(request.target());
    const bool lists_nodes = target.find("keyed.status") != std::string::npos;
    record_reads += lists_nodes ? 0 : 1;
    return AnswerAsStore(request);
  });
  raw_server peer(world.context, AnswerAsStore);
  const auto node = MakeNode(world.context, store.port(), peer.port());
  node->must_read_store = [] { return false; };
  node->must_read_store_first = [] { return false; };
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  SECTION("from the first that has them") {
    watch->CatchUp(kPeerAhead);
    world.RunUntil([&node] { return node->Ready(); });
    CHECK(node->Ready());
    CHECK(record_reads == 0);
  }
  SECTION("no peer has them, so it reads the store itself") {
    world.RunUntil([] { return false; });  // the wait for peers ends meanwhile
    world.RunUntil([&node] { return node->Ready(); });
    CHECK(node->Ready());
    CHECK(record_reads >= 2);
  }
}

// Reads that waited for a change past the end of a store outage delayed a new
// configuration by more than two seconds.
TEST_CASE("store unreachable: the first read after a failure does not wait") {
  front_world world;
  std::vector<std::string> reads;
  raw_server store(world.context, [&reads](const http_request& request) {
    const std::string target(request.target());
    if (target.find("log-read") == std::string::npos) {
      return AnswerAsStore(request);
    }
    if (target.find("keyed.op") == std::string::npos) {
      return std::string();
    }
    reads.push_back(target);
    return reads.size() == 2 ? std::string() : AnswerAsStore(request);
  });
  const auto node = MakeNode(world.context, store.port(), 1);
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&reads] { return reads.size() >= 4; });
  REQUIRE(reads.size() >= 4);
  CHECK(reads[1].find("wait_ms") != std::string::npos);
  CHECK(reads[2].find("wait_ms") == std::string::npos);
  CHECK(reads[3].find("wait_ms") != std::string::npos);
}

// The node took the version in force for the newest one, so that keys which the
// refused version may have withdrawn went on running.
TEST_CASE("a version that can't be read proves no other to be the newest") {
  for (const std::string teams : {"null", "[{}]", "[]"}) {
    front_world world;
    std::string config = kConfig;
    raw_server store(world.context, [&config](const http_request& request) {
      const std::string target(request.target());
      if (target.find("keyed.op") == std::string::npos) {
        return AnswerAsStore(request);
      }
      if (target.find("log-newest") != std::string::npos) {
        return NewestAnswer("config", config);
      }
      std::string page(16, '\0');
      page[7] = config == kConfig ? 7 : 100;  // the end of the topic
      return OkAnswer(page);
    });
    node_settings settings = MakeNode(world.context, store.port(), 1)->settings;
    settings.max_config_age = millis(5'000);
    const auto node = std::make_shared<front_node>(world.context, settings, 1);
    const auto watch = std::make_shared<store_watch>(node);
    watch->Start([](const host_port&) {});
    world.RunUntil([&node] { return node->Ready(); });
    REQUIRE(node->Ready());
    const std::string tail = R"(,"tenants":)" + teams + "}";
    config = ConfigOf(5);
    config.replace(config.rfind('}'), 1, tail);
    world.RunUntil([] { return false; }, millis(300));
    const millis proved_until = boot_clock::Now();
    world.RunUntil([] { return false; }, millis(300));
    const bool has_new_proof = *node->freshness.AgeAt(boot_clock::Now()) <
                               boot_clock::Now() - proved_until;
    CAPTURE(teams);
    CHECK(has_new_proof == (teams == "[]"));
    CHECK(node->ConfigVersion() == (teams == "[]" ? 5 : 4));
  }
}

// Other nodes relied for 3.7 s on a reader that the store no longer answered,
// and used an old service meanwhile (review/10).
TEST_CASE("the store falls silent: a reader soon tells that it cannot read") {
  front_world world;
  bool is_silent = false;
  raw_server store(world.context, [&](const http_request& request) {
    // A head that is never complete.
    return is_silent ? "HTTP/1.1 200 OK\r\n" : AnswerAsStore(request);
  });
  const auto node = MakeNode(world.context, store.port(), 1);
  node->live_nodes = 2;  // it does not turn to a seed
  std::vector<bool> told;
  node->on_load_change = [&](load_change change, instance_key /*key*/) {
    if (change == load_change::kReaderChanged) {
      told.push_back(node->reads_store);
    }
  };
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->reads_store; });
  REQUIRE(node->reads_store);
  CHECK(told == std::vector<bool>{true});
  is_silent = true;
  // Half a second of the bound is left for another node.
  world.RunUntil([&node] { return !node->reads_store; }, millis(1'500));
  CHECK_FALSE(node->reads_store);
  CHECK(told == std::vector<bool>{true, false});
}

// It went on to say that it read, and would have been relied on again.
TEST_CASE("a node that others read for no longer tells that it reads") {
  front_world world;
  raw_server store(world.context, AnswerAsStore);
  const auto node = MakeNode(world.context, store.port(), 1);
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->reads_store; });
  REQUIRE(node->reads_store);
  node->must_read_store = [] { return false; };
  world.RunUntil([&node] { return !node->reads_store; });
  CHECK_FALSE(node->reads_store);
}

TEST_CASE("a node takes over at once when it is told that it must") {
  front_world world;
  int reads = 0;
  raw_server store(world.context, [&reads](const http_request& request) {
    reads += request.target().find("log-read") != std::string_view::npos;
    return AnswerAsStore(request);
  });
  const auto node = MakeNode(world.context, store.port(), 1);
  const auto watch = std::make_shared<store_watch>(node);
  watch->Start([](const host_port&) {});
  world.RunUntil([&node] { return node->reads_store; });
  node->must_read_store = [] { return false; };
  world.RunUntil([&node] { return !node->reads_store; });
  world.RunUntil([] { return false; }, millis(700));
  reads = 0;
  node->must_read_store = [] { return true; };
  node->on_takeover_due();
  const millis told_at = boot_clock::Now();
  world.RunUntil([&reads] { return reads >= 2; });
  CHECK(reads >= 2);
  CHECK(boot_clock::Now() - told_at < millis(100));
}

TEST_CASE("a newer configuration of a peer is applied, an older one is not") {
  front_world world;
  raw_server store(world.context,
                   [](const http_request&) { return std::string(); });
  std::string config = kConfig;
  raw_server peer(world.context, [&config](const http_request&) {
    return NewestAnswer("config", config);
  });
  const auto node = MakeNode(world.context, store.port(), peer.port());
  const auto watch = std::make_shared<store_watch>(node);
  const auto version = [&node] {
    const auto routes = node->routes.Load();
    return routes ? routes->config().version : 0;
  };
  watch->CatchUp(kPeerAhead);
  world.RunUntil([&version] { return version() == 4; });
  CHECK(version() == 4);
  config.replace(config.find("r4"), 2, "r3");
  world.RunUntil([] { return false; });
  watch->CatchUp(kPeerAhead);
  world.RunUntil([&peer] { return peer.served >= 3; });
  CHECK(peer.served >= 3);
  CHECK(version() == 4);
}

// Most nodes hear of a change from another zone first.
TEST_CASE("a reader of the own zone ends the wait before a read elsewhere") {
  front_world world;
  raw_server store(world.context,
                   [](const http_request&) { return std::string(); });
  raw_server peer(world.context, AnswerAsStore);
  const auto node = MakeNode(world.context, store.port(), peer.port());
  const auto watch = std::make_shared<store_watch>(node);
  peer_ahead other_zone = kPeerAhead;
  other_zone.is_other_zone = true;
  const millis started_at = boot_clock::Now();
  watch->CatchUp(other_zone);
  boost::asio::steady_timer heard(world.context, std::chrono::milliseconds(50));
  heard.async_wait([&](const auto&) { watch->CatchUp(kPeerAhead); });
  world.RunUntil([&node] { return node->ConfigVersion() == 4; });
  CHECK(node->ConfigVersion() == 4);
  CHECK(boot_clock::Now() - started_at < millis(300));
}

TEST_CASE("an older page does not replace newer entries read from a peer") {
  front_world world;
  raw_server store(world.context,
                   [](const http_request&) { return std::string(); });
  uint64_t offset = 9;
  std::string key = "i-1";
  raw_server peer(world.context, [&](const http_request& request) {
    if (request.target().find("keyed.op") != std::string_view::npos) {
      return NewestAnswer("config", kConfig);
    }
    nlohmann::json items = {{{"key", key}, {"value", ToBase64(kEntry)}}};
    return OkAnswer(nlohmann::json{
        {"items", items}, {"has_more", false}, {"end_offset", offset}}
                        .dump());
  });
  const auto node = MakeNode(world.context, store.port(), peer.port());
  const auto watch = std::make_shared<store_watch>(node);
  watch->CatchUp(kPeerAhead);
  world.RunUntil([&node] { return node->instances_offset == 9; });
  REQUIRE(node->selector.Find(KeyOf("i-1")) != nullptr);
  offset = 8;
  key = "i-gone";
  world.RunUntil([&peer] { return peer.served >= 2; });
  world.context.run_for(std::chrono::milliseconds(100));
  watch->CatchUp(kPeerAhead);
  world.RunUntil([&peer] { return peer.served >= 4; });
  world.context.run_for(std::chrono::milliseconds(100));
  CHECK(node->instances_offset == 9);
  CHECK(node->selector.Find(KeyOf("i-gone")) == nullptr);
  CHECK(node->selector.Find(KeyOf("i-1")) != nullptr);
}

TEST_CASE("a mirror returns the records read, without the removed ones") {
  store_mirror mirror;
  CHECK(mirror.Answer("/-/log-newest?topic=keyed.op&part=0").result_int() ==
        404);
  keyed_page page;
  page.whole = true;
  page.next = 3;
  page.records = {{"one", "1"}, {"two", "2"}};
  mirror.Take("keyed.op", page);
  page.whole = false;
  page.records = {{"one", std::nullopt}};
  page.next = 4;
  mirror.Take("keyed.op", page);
  const auto read_newest = [&mirror](const std::string& extra_query) {
    return nlohmann::json::parse(
        mirror.Answer("/-/log-newest?part=0&topic=keyed.op" + extra_query)
            .body());
  };
  CHECK(read_newest("")["end_offset"] == 4);
  REQUIRE(read_newest("")["items"].size() == 1);
  CHECK(read_newest("")["items"][0]["key"] == "two");
  CHECK(read_newest("&known=1")["changes_only"] == false);
  CHECK(read_newest("&known=4")["items"].empty());
  const auto changes = read_newest("&known=3");
  CHECK(changes["changes_only"] == true);
  REQUIRE(changes["items"].size() == 1);
  CHECK_FALSE(changes["items"][0].contains("value"));
}

// With 480 instances, a node that had missed one change got all their entries,
// since the renewals had pushed it out.
TEST_CASE("many instances: a mirror does not pass on renewals of entries") {
  const auto entry = [](const std::string& state, int64_t sequence) {
    return nlohmann::json{{"service", "s"},  {"address", "127.0.0.1:9"},
                          {"zone", "a"},     {"slots", 3},
                          {"state", state},  {"warmup_left_s", 0},
                          {"seq", sequence}, {"born", 1}}
        .dump();
  };
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.next = 2;
  page.records = {{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}};
  mirror.Take("keyed.servers", page);
  page.whole = false;
  for (int64_t sequence = 2; sequence < 500; ++sequence) {
    page.next = page.next.value() + 2;
    page.records = {
        {"i-1", entry("ready", sequence)},
        {"i-2", entry(sequence < 300 ? "ready" : "draining", sequence)}};
    mirror.Take("keyed.servers", page);
  }
  const auto answer = nlohmann::json::parse(
      mirror.Answer("/-/log-newest?part=0&topic=keyed.servers&known=2").body());
  CHECK(answer["changes_only"] == true);
  CHECK(answer["end_offset"] == page.next.value());
  REQUIRE(answer["items"].size() == 1);
  CHECK(answer["items"][0]["key"] == "i-2");
}

}  // namespace
}  // namespace peridotarch
