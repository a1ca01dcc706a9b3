#include "platform/store_records.h"

#include <catch2/catch.hpp>

#include "core/error.h"
#include "platform/store_client.h"

namespace peridotarch {
namespace {

constexpr std::string_view kConfig = R"({"version":"r7","routes":[
 {"name":"reg","host":"Box.example","path_prefix":"/reg/","kind":"unsafe",
  "timeout_s":1.2,"target_latency_s":0.6,"priority":1,"service":"box",
  "max_attempts":2},
 {"name":"tally","host":"box.example","path_prefix":"/tally/","kind":"safe",
  "traffic_split":[{"service":"box","weight":90},
                   {"service":"desk","weight":10}]}],
 "services":[{"name":"box","health_path":"/h","max_connections":330}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
           "header_timeout_s":3,"idle_timeout_s":15},"base_version":"r5"})";

constexpr std::string_view kEntry =
    R"({"service":"box","address":"10.0.0.9:8080","zone":"a","version":"v1",
        "slots":3,"state":"ready","warmup_left_s":1.5,"seq":4,
        "born":1700000000000})";

std::string Replaced(std::string_view text, const std::string& from,
                     const std::string& to) {
  std::string changed(text);
  const size_t at = changed.find(from);
  REQUIRE(at != std::string::npos);
  return changed.replace(at, from.size(), to);
}

TEST_CASE("a configuration is read into the fleet's words") {
  const fleet_config config = DecodeConfig(kConfig);
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].host == "box.example");
  CHECK_FALSE(config.routes[0].idempotent);
  CHECK(config.routes[0].timeout == millis(1'200));
  CHECK(config.routes[0].latency_objective == millis(600));
  CHECK(config.routes[0].max_attempts == 2);
  CHECK(config.routes[1].idempotent);
  CHECK(config.routes[1].max_attempts == 1);
  REQUIRE(config.routes[1].services.size() == 2);
  CHECK(config.routes[1].services[1].weight == 10);
  CHECK(config.services[0].max_connections == 330);
  CHECK(config.limits.idle_timeout == millis(15'000));
}

// The nodes refused such versions and never got ready.
TEST_CASE("a version has 64 bits") {
  const auto version_of = [](const std::string& text) {
    return DecodeConfig(Replaced(kConfig, "r7", text)).version.value();
  };
  CHECK(version_of("r9223372036854775900") == 9'223'372'036'854'775'900U);
  CHECK(version_of("r18446744073709551615") == UINT64_MAX);
  for (const std::string bad :
       {"r18446744073709551616", "r", "r 7", "r+7", "r7 ", "r0x7", "7"}) {
    CHECK_THROWS_AS(version_of(bad), codec_error);
  }
}

TEST_CASE("a configuration with a bad field is refused as a whole") {
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"r7\"", "7"},
           {"\"r7\"", "\"x7\""},
           {"\"r7\"", "\"r-1\""},
           {"1.2", "\"1.2\""},
           {"1.2", "-1"},
           {"\"max_attempts\":2", "\"max_attempts\":0"},
           {"\"priority\":1", "\"priority\":1.5"},
           {"\"/reg/\"", "7"},
           {"90", "\"90\""}}) {
    CHECK_THROWS_AS(DecodeConfig(Replaced(kConfig, from, to)), codec_error);
  }
  CHECK_THROWS_AS(DecodeConfig("{"), codec_error);
  CHECK_THROWS_AS(DecodeConfig("[]"), codec_error);
}

std::string WithTeams(const std::string& teams) {
  return Replaced(kConfig, "\"base_version\"",
                  "\"tenants\":" + teams + ",\"base_version\"");
}

TEST_CASE("teams are read with the digests of their keys") {
  const fleet_config config = DecodeConfig(WithTeams(
      R"([{"name":"red","api_keys":["a1","a2"],"priority":3,"rate_per_s":2.5,
           "burst":7},
          {"name":"blue","api_keys":[]}])"));
  REQUIRE(config.teams);
  const std::vector<team>& teams = *config.teams;
  REQUIRE(teams.size() == 2);
  CHECK(teams[0].name == "red");
  CHECK(teams[0].keys == std::vector{Sha256("a1"), Sha256("a2")});
  CHECK(teams[0].priority == 3);
  CHECK(teams[0].rate == 2.5);
  CHECK(teams[0].burst == 7);
  CHECK(teams[1].keys.empty());
  CHECK_FALSE(teams[1].priority);
  CHECK(teams[1].rate == 0);
  CHECK_FALSE(DecodeConfig(kConfig).teams);
}

// An empty list was read like a missing one, and any key was let in (review/9).
TEST_CASE("an empty list of teams is not a missing one") {
  const fleet_config config = DecodeConfig(WithTeams("[]"));
  REQUIRE(config.teams);
  CHECK(config.teams->empty());
}

TEST_CASE("a field that is null or of another type is not a missing one") {
  for (const std::string teams :
       {"null", "{}", "\"\"", "false", "0", "[null]", "[[]]",
        R"([{"name":"red"}])", R"([{"name":"red","api_keys":null}])",
        R"([{"name":"red","api_keys":{}}])", R"([{"api_keys":["a"]}])",
        R"([{"name":"red","api_keys":["a"],"rate_per_s":null}])",
        R"([{"name":"red","api_keys":["a"],"burst":null}])",
        R"([{"name":"red","api_keys":["a"],"priority":null}])"}) {
    CAPTURE(teams);
    CHECK_THROWS_AS(DecodeConfig(WithTeams(teams)), codec_error);
  }
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"priority\":1", "\"allow_anonymous\":null"},
           {"\"priority\":1", "\"allow_anonymous\":\"\""},
           {"\"priority\":1", "\"allow_anonymous\":1"},
           {"\"service\":\"box\",\n  \"max", "\"service\":null,\n  \"max"},
           {"\"service\":\"box\",\n  \"max", "\"service\":\"\",\n  \"max"},
           {"\"traffic_split\":[", "\"traffic_split\":null,\"x\":["},
           {"\"traffic_split\":[", "\"traffic_split\":[],\"x\":["},
           {"\"max_connections\":330", "\"max_connections\":null"},
           {"\"limits\":{", "\"limits\":null,\"x\":{"},
           {"\"limits\":{", "\"limits\":{},\"x\":{"},
           {"\"routes\":[", "\"routes\":null,\"x\":["},
           {"\"services\":[", "\"services\":null,\"x\":["}}) {
    CAPTURE(from, to);
    CHECK_THROWS_AS(DecodeConfig(Replaced(kConfig, from, to)), codec_error);
  }
}

// A refused version must name its entry, but keys must not reach the log.
TEST_CASE("bad teams are refused with an error that names no key") {
  for (const std::string teams :
       {R"([{"name":"red","api_keys":["hidden"]},
            {"name":"blue","api_keys":["hidden"]}])",
        R"([{"name":"red","api_keys":["hidden"]},
            {"name":"red","api_keys":["b"]}])",
        R"([{"name":"red","api_keys":["hidden",7]}])",
        R"([{"name":"red","api_keys":["hidden",""]}])",
        R"([{"name":"red","api_keys":["hidden"],"rate_per_s":-1}])",
        R"([{"name":"red","api_keys":["hidden"],"priority":1.5}])",
        R"([{"name":"r\ned","api_keys":["hidden"]}])",
        R"([{"name":"red","api_keys":"hidden"}])",
        R"([{"name":"red","api_keys":["hidden"]} x])"}) {
    try {
      DecodeConfig(WithTeams(teams));
      FAIL("accepted: " + teams);
    } catch (const codec_error& bad) {
      CHECK(std::string(bad.what()).find("hidden") == std::string::npos);
    }
  }
}

TEST_CASE("downloads may be repeated, and open routes need no key") {
  CHECK(DecodeConfig(Replaced(kConfig, "unsafe", "download"))
            .routes[0]
            .idempotent);
  const std::string open =
      Replaced(kConfig, "\"priority\":1", "\"allow_anonymous\":true");
  CHECK(DecodeConfig(open).routes[0].is_open);
  CHECK_FALSE(DecodeConfig(kConfig).routes[0].is_open);
}

TEST_CASE("an instance's entry is read") {
  const instance_entry entry = DecodeInstance("i-1", kEntry);
  CHECK(entry.id == "i-1");
  CHECK(entry.address == "10.0.0.9");
  CHECK(entry.port == 8080);
  CHECK(entry.slots == 3);
  CHECK_FALSE(entry.draining);
  CHECK(entry.warmup_left == millis(1'500));
  CHECK(entry.sequence == 4);
  CHECK(entry.started_at == 1'700'000'000'000);
  CHECK(DecodeInstance("i", Replaced(kEntry, "ready", "draining")).draining);
}

TEST_CASE("an entry of another writer names no instance") {
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"resting\""},
           {"\"ready\"", "1"},
           {"\"10.0.0.9:8080\"", "\"nowhere\""},
           {"\"slots\":3", "\"slots\":\"3\""},
           {"\"slots\":3", "\"slots\":0"},
           {"\"seq\":4", "\"seq\":4.5"},
           {"1700000000000", "17.5"},
           {"\"service\":\"box\",", ""}}) {
    CHECK_THROWS_AS(DecodeInstance("i", Replaced(kEntry, from, to)),
                    codec_error);
  }
  CHECK_THROWS_AS(DecodeInstance("i", "\xff\x00\x12"), codec_error);
}

TEST_CASE("a node's announcement is read back") {
  const node_record node{"edge-1", {"10.0.0.1", 7660}};
  const node_record back = DecodeNode("edge-1", Encode(node));
  CHECK(back.node == node.node);
  CHECK(back.peer == node.peer);
  CHECK_THROWS_AS(DecodeNode("edge-1", "{}"), codec_error);
}

std::string Big(uint64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>(value >> shift));
  }
  return text;
}

TEST_CASE(
    "a page of records: values, removals, and records that are left "
    "out") {
  const std::string value = std::string("\x03") + "one" + "text";
  const std::string removal = std::string("\x03") + "two";
  const std::string torn = std::string("\x09") + "x";
  const std::string body = Big(8, 8) + Big(2, 8) + Big(value.size(), 4) +
                           value + Big(removal.size(), 4) + removal +
                           Big(torn.size(), 4) + torn;
  const keyed_page page = DecodeKeyedPage(body, 5);
  CHECK(page.next == 8);
  CHECK_FALSE(page.forgotten);
  REQUIRE(page.records.size() == 2);
  CHECK(page.records[0].key == "one");
  CHECK(page.records[0].value == "text");
  CHECK_FALSE(page.records[1].value.has_value());
  CHECK(DecodeKeyedPage(body, 1).forgotten);
  CHECK_THROWS_AS(DecodeKeyedPage(body.substr(0, body.size() - 1), 5),
                  codec_error);
  CHECK_THROWS_AS(DecodeKeyedPage("short", 0), codec_error);
}

}  // namespace
}  // namespace peridotarch
