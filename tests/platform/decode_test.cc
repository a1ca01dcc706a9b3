#include <catch2/catch.hpp>
#include <string>

#include "core/error.h"
#include "platform/base64.h"
#include "platform/http_hosts.h"
#include "platform/http_log.h"
#include "platform/keyed_page.h"

namespace peridotarch {
namespace {

TEST_CASE("base64 gives the published vectors and reads them back") {
  const std::string vectors[][2] = {{"", ""},
                                    {"f", "Zg=="},
                                    {"fo", "Zm8="},
                                    {"foo", "Zm9v"},
                                    {"foob", "Zm9vYg=="}};
  for (const auto& [bytes, text] : vectors) {
    REQUIRE(ToBase64(bytes) == text);
    REQUIRE(FromBase64(text) == bytes);
  }
  REQUIRE_THROWS_AS(FromBase64("Zg="), codec_error);
  REQUIRE_THROWS_AS(FromBase64("Z?=="), codec_error);
  // Padding alone threw std::length_error, which ended the reads of the store.
  for (const char* bad :
       {"====", "Z===", "Z=g=", "=Zg=", "Zg==Zg==", "    Zg==", "Zg==    ",
        "Zm9v\n\n\n\n", "Zm\x39\xff"}) {
    REQUIRE_THROWS_AS(FromBase64(bad), codec_error);
  }
}

// A value that is null made the whole page unreadable.
TEST_CASE("newest records: no value, null and an empty one are a removal") {
  keyed_page page;
  AddNewestPage(R"({"items":[{"key":"a"},{"key":"b","value":null},
                             {"key":"c","value":""},
                             {"key":"d","value":"Zm9v"}],
                    "has_more":false,"end_offset":4})",
                page);
  REQUIRE(page.records.size() == 4);
  for (size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(page.records[i].value);
  }
  CHECK(page.records[3].value == "foo");
  for (const std::string bad : {"7", "{}", "false"}) {
    const std::string body = R"({"items":[{"key":"a","value":)" + bad +
                             R"(}],"has_more":false,"end_offset":1})";
    CHECK_THROWS_AS(AddNewestPage(body, page), codec_error);
  }
}

TEST_CASE("a page of the log decodes, and a malformed one throws") {
  const log_page page = DecodeLogPage(
      R"({"first":3,"next":9,"records":[{"offset":8,"time":77,"data":"Zm9v"}]})");
  REQUIRE(page.first == 3);
  REQUIRE(page.next == 9);
  REQUIRE(page.records.at(0).data == "foo");
  REQUIRE(page.records.at(0).appended_at == millis(77));
  for (const char* bad :
       {"", "[]", R"({"first":1})",
        R"({"first":1,"next":2,"records":[{"offset":"x"}]})"}) {
    REQUIRE_THROWS_AS(DecodeLogPage(bad), codec_error);
  }
}

TEST_CASE("a list of hosts decodes, and an unknown state throws") {
  const std::string entry =
      R"({"service":"s","id":"i","address":"127.0.0.1","port":80,)"
      R"("zone":"z","incarnation":4,"state":")";
  const auto list = [&](const std::string& state) {
    return DecodeHostList(R"({"as_of":5,"hosts":[)" + entry + state + "\"}]}");
  };
  REQUIRE(list("leaving").hosts.at(0).state == host_state::kLeaving);
  REQUIRE(list("live").hosts.at(0).incarnation == 4);
  REQUIRE_THROWS_AS(list("gone"), codec_error);
}

}  // namespace
}  // namespace peridotarch
