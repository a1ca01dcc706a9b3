// What another writer may leave in the store, as nodes read it there and at
// each other.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "front/store_watch.h"
#include "front_world.h"
#include "platform/base64.h"

namespace peridotarch {
namespace {

const peer_ahead kPeerAhead{"127.0.0.1", UINT32_MAX, UINT32_MAX, false};

constexpr const char* kConfig =
    R"({"version":"r4","routes":[{"name":"n","host":"box.example",
     "path_prefix":"/","kind":"safe","service":"s","max_attempts":1}],
     "services":[{"name":"s","max_connections":3}]})";
constexpr const char* kEntry =
    R"({"service":"s","address":"127.0.0.1:9","zone":"a","slots":3,
     "state":"ready","warmup_left_s":0,"seq":1,"born":5})";
// The store's page in JSON has U+FFFD for bytes that are no UTF-8.
constexpr const char* kReplacedKey = "i-\xef\xbf\xbd";
constexpr const char* kUnreadableKey = "i-\xff\x00\xfe";

std::string OkAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Big(uint64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>(value >> shift));
  }
  return text;
}

// A store whose instances topic holds `records`, and whose page in JSON may be
// replaced as a whole.
struct odd_store {
  std::string Answer(const http_request& request) {
    const std::string target(request.target());
    const bool is_instances = target.find("keyed.servers") != std::string::npos;
    if (target.find("log-newest") != std::string::npos) {
      if (is_instances && !newest_page.empty()) {
        return OkAnswer(newest_page);
      }
      return OkAnswer(Newest(is_instances ? records : ConfigRecords(target)));
    }
    if (!is_instances || changes.empty()) {
      return OkAnswer(Big(offset, 8) + Big(0, 8));
    }
    std::string body = Big(offset + changes.size(), 8) + Big(0, 8);
    for (const keyed_record& record : changes) {
      const std::string content =
          std::string(1, static_cast<char>(record.key.size())) + record.key +
          record.value.value_or("");
      body += Big(content.size(), 4) + content;
    }
    offset += changes.size();
    changes.clear();
    return OkAnswer(body);
  }
  static std::vector<keyed_record> ConfigRecords(const std::string& target) {
    if (target.find("keyed.op") == std::string::npos) {
      return {};
    }
    return {{"config", kConfig}};
  }
  std::string Newest(const std::vector<keyed_record>& of) const {
    nlohmann::json items = nlohmann::json::array();
    for (const keyed_record& record : of) {
      items.push_back(
          {{"key", record.key}, {"value", ToBase64(*record.value)}});
    }
    return nlohmann::json{
        {"items", items}, {"has_more", false}, {"end_offset", offset}}
        .dump();
  }

  uint64_t offset = 7;
  std::vector<keyed_record> records;  // at the first read
  std::vector<keyed_record> changes;  // given to the next read of changes
  std::string newest_page;
};

// A node that follows an odd_store.
struct following_node {
  void Start() {
    node_settings settings;
    settings.node = "edge-1";
    settings.zone = "a";
    settings.store = {"127.0.0.1", server.port()};
    settings.control = {"127.0.0.2", peer.port()};
    node = std::make_shared<front_node>(world.context, settings, 1);
    watch = std::make_shared<store_watch>(node);
    watch->Start([](const host_port&) {});
  }
  [[nodiscard]] bool Knows(const std::string& id) const {
    return node->selector.Find(KeyOf(id)) != nullptr;
  }
  void RunUntilKnown(const std::string& id) {
    world.RunUntil([&] { return Knows(id); });
    REQUIRE(Knows(id));
  }

  front_world world;
  odd_store store;
  odd_store at_peer;
  raw_server server{world.context, [this](const http_request& request) {
                      return store.Answer(request);
                    }};
  raw_server peer{world.context, [this](const http_request& request) {
                    return at_peer.Answer(request);
                  }};
  std::shared_ptr<front_node> node;
  std::shared_ptr<store_watch> watch;
};

std::vector<keyed_record> OddRecords() {
  std::string too_many_slots = kEntry;
  too_many_slots.replace(too_many_slots.find("\"slots\":3"), 9,
                         "\"slots\":4294967297");
  std::string bad_port = kEntry;
  bad_port.replace(bad_port.find(":9\""), 3, ":70000\"");
  return {{"i-nested", std::string(100'000, '[')},
          {"i-slots", too_many_slots},
          {"i-port", bad_port},
          {"i-long", std::string(256 << 10, 'x')},
          {"i-bytes", std::string("\xff\x00\x12", 3)}};
}

// The nodes that read such a list ended, or stopped following it.
TEST_CASE("odd entries: the others hold, and the node follows the list on") {
  following_node following;
  following.store.records = OddRecords();
  following.store.records.push_back({"i-1", kEntry});
  following.Start();
  following.RunUntilKnown("i-1");
  CHECK(following.node->selector.size() == 1);
  following.store.changes = OddRecords();
  following.store.changes.push_back({"i-2", kEntry});
  following.RunUntilKnown("i-2");
  CHECK(following.node->selector.size() == 2);
  following.store.changes = {{"i-1", std::nullopt}, {"i-3", kEntry}};
  following.RunUntilKnown("i-3");
  CHECK_FALSE(following.Knows("i-1"));
}

// A value of padding alone threw std::length_error, and the node never read
// the instances again.
TEST_CASE("odd page: a value that is no base64 does not end the reads") {
  following_node following;
  const std::string bad =
      R"({"items":[{"key":"i-9","value":"===="}],"has_more":false,)"
      R"("end_offset":9})";
  SECTION("of the store") {
    following.store.newest_page = bad;
    following.Start();
    following.world.RunUntil([&] { return following.server.served > 5; });
    following.store.newest_page.clear();
    following.store.records = {{"i-1", kEntry}};
    following.RunUntilKnown("i-1");
  }
  SECTION("of a peer") {
    following.node = nullptr;
    following.at_peer.newest_page = bad;
    following.at_peer.offset = 20;
    following.store.records = {{"i-1", kEntry}};
    following.Start();
    following.RunUntilKnown("i-1");
    following.watch->CatchUp(kPeerAhead);
    following.world.RunUntil([&] { return following.peer.served >= 2; });
    following.world.context.run_for(std::chrono::milliseconds(150));
    following.at_peer.newest_page.clear();
    following.at_peer.records = {{"i-2", kEntry}};
    following.watch->CatchUp(kPeerAhead);
    following.RunUntilKnown("i-2");
  }
}

// The entry of before was used on by nodes that read the change, and by no
// node that read the whole list.
TEST_CASE("odd entry: it replaces the entry that its key had") {
  following_node following;
  following.store.records = {{"i-1", kEntry}, {"i-2", kEntry}};
  following.Start();
  following.RunUntilKnown("i-1");
  following.store.changes = {{"i-1", "{}"}, {"i-3", kEntry}};
  following.RunUntilKnown("i-3");
  CHECK_FALSE(following.Knows("i-1"));
  CHECK(following.Knows("i-2"));
}

// The call for the next page was malformed, so the store refused it each time.
TEST_CASE("odd key: the call for the next page names it in full") {
  following_node following;
  std::vector<std::string> targets;
  raw_server store(following.world.context, [&](const http_request& request) {
    const std::string target(request.target());
    if (target.find("keyed.servers") == std::string::npos) {
      return following.store.Answer(request);
    }
    targets.push_back(target);
    const bool is_first = target.find("after=") == std::string::npos;
    return OkAnswer(nlohmann::json{
        {"items",
         {{{"key", is_first ? "a b&\xc3\xa4?" : "i-1"},
           {"value", ToBase64(is_first ? "{}" : kEntry)}}}},
        {"has_more", is_first},
        {"end_offset",
         7}}.dump());
  });
  store_client client(following.world.context.get_executor(),
                      {"127.0.0.1", store.port()}, record_server::kStore);
  std::optional<keyed_page> page;
  boost::asio::co_spawn(
      following.world.context,
      [&]() -> awaitable<void> {
        page = co_await client.Newest(kInstanceTopic, millis(700));
      },
      boost::asio::detached);
  following.world.RunUntil([&] { return page.has_value(); });
  REQUIRE(page.has_value());
  CHECK(page->records.size() == 2);
  REQUIRE(targets.size() == 2);
  CHECK(targets[1].ends_with("&after=a%20b%26%C3%A4%3F"));
}

// The mirror threw for the key, and its readers missed all changes of the
// instances as long as the entry was there.
TEST_CASE("odd key: the mirror leaves it out, and it names no instance") {
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.next = 3;
  const std::string unreadable(kUnreadableKey, 5);
  page.records = {{"i-1", kEntry}, {unreadable, kEntry}};
  mirror.Take(kInstanceTopic, page);
  page.whole = false;
  page.next = 5;
  page.records = {{unreadable, "{}"}, {"i-2", kEntry}};
  mirror.Take(kInstanceTopic, page);
  for (const std::string query : {"", "&known=3"}) {
    const std::string body =
        mirror.Answer("/-/log-newest?part=0&topic=keyed.servers" + query)
            .body();
    const nlohmann::json page_read = nlohmann::json::parse(body);
    for (const auto& item : page_read.at("items")) {
      CHECK(item.at("key").get<std::string>().starts_with("i-"));
      CHECK(item.at("key") != unreadable);
    }
    CHECK(body.find("i-2") != std::string::npos);
  }
}

// One entry had two spellings, one in each form of the store's pages.
TEST_CASE("odd key: no form of a page makes it an instance") {
  following_node following;
  following.store.records = {{"", kEntry},
                             {kReplacedKey, kEntry},
                             {"i\r\nX: 1", kEntry},
                             {"i-1", kEntry}};
  following.Start();
  following.RunUntilKnown("i-1");
  CHECK(following.node->selector.size() == 1);
  following.store.changes = {
      {"", kEntry}, {std::string(kUnreadableKey, 5), kEntry}, {"i-2", kEntry}};
  following.RunUntilKnown("i-2");
  CHECK(following.node->selector.size() == 2);
}

// An exception that nothing expected ended the loop that it left, unseen.
TEST_CASE("unexpected exception: the loop of a node goes on after it") {
  front_world world;
  raw_server store(world.context, [](const http_request&) {
    return OkAnswer(nlohmann::json{
        {"items",
         {{{"key", "edge-2"},
           {"value", ToBase64(R"({"address":"127.0.0.1:9"})")}}}},
        {"has_more", false},
        {"end_offset",
         1}}.dump());
  });
  node_settings settings;
  settings.node = "edge-1";
  settings.store = {"127.0.0.1", store.port()};
  const auto node = std::make_shared<front_node>(world.context, settings, 1);
  const auto watch = std::make_shared<store_watch>(node);
  int listed = 0;
  watch->Start([&listed](const host_port&) {
    if (++listed == 1) {
      throw std::logic_error("not foreseen");
    }
  });
  world.RunUntil([&] { return listed > 1; });
  CHECK(listed > 1);
}

}  // namespace
}  // namespace peridotarch
