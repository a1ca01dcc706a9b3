#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/compression.h"
#include "platform/base64.h"
#include "platform/store_mirror.h"
#include "platform/store_records.h"
#include "store_fixture.h"

namespace peridotarch {
namespace {

// The answer grew by a whole configuration with each version that a node had
// missed, until it could not be sent in time (issue 28).
TEST_CASE("a storm of configurations: a mirror gives the newest one alone") {
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.next = 1;
  page.records = {{"config", ConfigOf(1)}};
  mirror.Take(kConfigTopic, page);
  page.whole = false;
  for (uint64_t version = 2; version <= 26; ++version) {
    page.next = version;
    page.records = {{"config", ConfigOf(version)}};
    mirror.Take(kConfigTopic, page);
  }
  const auto answer = nlohmann::json::parse(
      mirror.Answer("/-/log-newest?part=0&topic=keyed.op&known=1").body());
  CHECK(answer["changes_only"] == true);
  CHECK(answer["end_offset"] == 26);
  REQUIRE(answer["items"].size() == 1);
  CHECK(FromBase64(answer["items"][0]["value"].get<std::string>()) ==
        ConfigOf(26));
}

TEST_CASE("a mirror's answer is made anew after a change") {
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.next = 1;
  page.records = {{"config", ConfigOf(1)}};
  mirror.Take(kConfigTopic, page);
  const std::string target = "/-/log-newest?part=0&topic=keyed.op";
  const std::string before = mirror.Answer(target).body();
  CHECK(mirror.Answer(target).body() == before);
  CHECK(mirror.Answer(target + "&known=1").body() != before);
  page.whole = false;
  page.next = 2;
  page.records = {{"config", ConfigOf(2)}};
  mirror.Take(kConfigTopic, page);
  CHECK(mirror.Answer(target).body() != before);
  CHECK(
      nlohmann::json::parse(mirror.Answer(target + "&known=1").body())["items"]
          .size() == 1);
}

// A zone's nodes read a large configuration at one peer at the same time, and
// none of them got it in time (issue 28).
TEST_CASE("a mirror compresses its answer for a reader that accepts it") {
  store_mirror mirror;
  keyed_page page;
  page.whole = true;
  page.next = 1;
  nlohmann::json config = nlohmann::json::parse(kConfig);
  const nlohmann::json route = config["routes"][0];
  for (int i = 0; i < 1'400; ++i) {
    config["routes"].push_back(route);
    config["routes"].back()["path_prefix"] = "/" + std::to_string(i) + "/";
  }
  page.records = {{"config", config.dump()}};
  mirror.Take(kConfigTopic, page);
  const std::string target = "/-/log-newest?part=0&topic=keyed.op";
  const http_response plain = mirror.Answer(target);
  const http_response compressed = mirror.Answer(target, true);
  CHECK(plain[boost::beast::http::field::content_encoding].empty());
  CHECK(compressed[boost::beast::http::field::content_encoding] == "zstd");
  CHECK(Decompress(compressed.body(), plain.body().size()) == plain.body());
  CHECK(compressed.body().size() * 5 < plain.body().size());
}

}  // namespace
}  // namespace peridotarch
