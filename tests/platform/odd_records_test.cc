// What another writer may leave in the store: each decoder gives a verdict.
#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "platform/store_records.h"

namespace peridotarch {
namespace {

using nlohmann::json;

const json kEntry = {{"service", "box"}, {"address", "10.0.0.9:8080"},
                     {"zone", "a"},      {"slots", 3},
                     {"state", "ready"}, {"warmup_left_s", 1.5},
                     {"seq", 4},         {"born", 1'700'000'000'000}};

const json kConfig = {
    {"version", "r7"},
    {"routes",
     {{{"name", "reg"},
       {"host", "box.example"},
       {"path_prefix", "/"},
       {"kind", "safe"},
       {"timeout_s", 1.2},
       {"target_latency_s", 0.6},
       {"priority", 1},
       {"max_attempts", 2},
       {"traffic_split", {{{"service", "box"}, {"weight", 90}}}}}}},
    {"services", {{{"name", "box"}, {"max_connections", 330}}}},
    {"limits",
     {{"max_header_bytes", 16384},
      {"max_body_bytes", 1 << 20},
      {"header_timeout_s", 3},
      {"idle_timeout_s", 15}}}};

// Texts of numbers that fit no field; some of them wrap around to small ones.
const std::vector<std::string> kBadNumbers = {"1e400",
                                              "-1e400",
                                              "1000000000000000000000000000000",
                                              "-1",
                                              "9223372036854775808",
                                              "18446744073709551615",
                                              "18446744073709551616",
                                              "18446744073709551617",
                                              "NaN",
                                              "Infinity",
                                              "\"NaN\"",
                                              "\"3\"",
                                              "null",
                                              "true",
                                              "[]",
                                              "[3]",
                                              "{}"};

// Returns the record with the field at `pointer` replaced by raw JSON text.
std::string WithField(json record, const std::string& pointer,
                      const std::string& text) {
  record[json::json_pointer(pointer)] = "@@";
  std::string dumped = record.dump();
  return dumped.replace(dumped.find("\"@@\""), 4, text);
}

std::string Repeated(const std::string& text, size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (size_t i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}

// A machine that read such an entry ended, or stopped following the list.
TEST_CASE("odd entry: any depth of nesting is refused or ignored") {
  for (const size_t depth : {100'000, 1'000'000}) {
    const std::string arrays = Repeated("[", depth) + Repeated("]", depth);
    const std::string objects =
        Repeated("{\"a\":", depth) + "1" + Repeated("}", depth);
    for (const std::string& nested : {arrays, objects}) {
      CHECK_THROWS_AS(DecodeInstance("i", nested), codec_error);
      CHECK_THROWS_AS(DecodeConfig(nested), codec_error);
      CHECK_THROWS_AS(DecodeNode("n", nested), codec_error);
      CHECK_THROWS_AS(DecodeInstance("i", nested.substr(0, depth)),
                      codec_error);
      for (const auto& field : kEntry.items()) {
        CHECK_THROWS_AS(
            DecodeInstance("i", WithField(kEntry, "/" + field.key(), nested)),
            codec_error);
      }
      // A field that no decoder reads does no harm.
      CHECK(DecodeInstance("i", WithField(kEntry, "/notes", nested)).slots ==
            3);
    }
  }
}

// A number of slots above 2^32 wrapped around to a small one, and the entry
// named an instance.
TEST_CASE("odd entry: a number that does not fit its field is refused") {
  std::vector<std::string> bad = kBadNumbers;
  bad.insert(bad.end(), {"4294967297", "4294967299", "-4294967293"});
  for (const std::string& number : bad) {
    INFO(number);
    CHECK_THROWS_AS(DecodeInstance("i", WithField(kEntry, "/slots", number)),
                    codec_error);
    if (number.find("429496729") == std::string::npos) {
      CHECK_THROWS_AS(DecodeInstance("i", WithField(kEntry, "/seq", number)),
                      codec_error);
      CHECK_THROWS_AS(DecodeInstance("i", WithField(kEntry, "/born", number)),
                      codec_error);
    }
    CHECK_THROWS_AS(
        DecodeInstance("i", WithField(kEntry, "/warmup_left_s", number)),
        codec_error);
  }
  CHECK(DecodeInstance("i", WithField(kEntry, "/seq", "9223372036854775807"))
            .sequence == std::numeric_limits<int64_t>::max());
}

TEST_CASE("odd configuration: a number that does not fit is refused") {
  std::vector<std::string> bad = kBadNumbers;
  bad.insert(bad.end(), {"4294967297", "-4294967295"});
  for (const std::string& number : bad) {
    for (const std::string field :
         {"/routes/0/priority", "/routes/0/max_attempts", "/routes/0/timeout_s",
          "/routes/0/target_latency_s", "/routes/0/traffic_split/0/weight",
          "/services/0/max_connections", "/limits/header_timeout_s",
          "/limits/idle_timeout_s"}) {
      INFO(field << " = " << number);
      CHECK_THROWS_AS(DecodeConfig(WithField(kConfig, field, number)),
                      codec_error);
    }
  }
  for (const std::string& number : kBadNumbers) {
    INFO(number);
    CHECK_THROWS_AS(
        DecodeConfig(WithField(kConfig, "/limits/max_header_bytes", number)),
        codec_error);
    CHECK_THROWS_AS(
        DecodeConfig(WithField(kConfig, "/limits/max_body_bytes", number)),
        codec_error);
  }
  for (const std::string version :
       {"r", "r-1", "r1e3", "r 1", "r18446744073709551616", "1"}) {
    CHECK_THROWS_AS(
        DecodeConfig(WithField(kConfig, "/version", '"' + version + '"')),
        codec_error);
  }
}

TEST_CASE("odd entry: an address that is not IP:PORT is refused") {
  for (const std::string address :
       {"10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
        "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:80a", "10.0.0.9: 80",
        "10.0.0.9:4294967376", "box.example:80", ":80", "10.0.0.9.1:80",
        "10.0.0.256:80", "::1:80", "[::1]", "", "\\u0000:80"}) {
    INFO(address);
    const std::string record =
        WithField(kEntry, "/address", '"' + address + '"');
    CHECK_THROWS_AS(DecodeInstance("i", record), codec_error);
    CHECK_THROWS_AS(DecodeNode("n", record), codec_error);
  }
}

// Routes without a list were taken as a configuration without routes.
TEST_CASE("odd records: a field of another type is refused") {
  for (const std::string value : {"null", "7", "1.5", "true", "[]", "{}",
                                  "[null]", "\"\"", "[[]]", "{\"a\":1}"}) {
    for (const std::string field : {"/service", "/address", "/zone", "/slots",
                                    "/state", "/warmup_left_s", "/seq"}) {
      const bool is_number = value == "7" || value == "1.5";
      if (is_number &&
          (field == "/slots" || field == "/seq" || field == "/warmup_left_s")) {
        continue;
      }
      INFO(field << " = " << value);
      CHECK_THROWS_AS(DecodeInstance("i", WithField(kEntry, field, value)),
                      codec_error);
    }
    for (const std::string field :
         {"/version", "/routes/0", "/routes/0/name", "/routes/0/host",
          "/routes/0/path_prefix", "/routes/0/kind", "/routes/0/traffic_split",
          "/routes/0/traffic_split/0", "/routes/0/traffic_split/0/service",
          "/services/0", "/services/0/name", "/limits"}) {
      INFO(field << " = " << value);
      CHECK_THROWS_AS(DecodeConfig(WithField(kConfig, field, value)),
                      codec_error);
    }
    for (const std::string field : {"/routes", "/services"}) {
      INFO(field << " = " << value);
      if (value != "[]") {
        CHECK_THROWS_AS(DecodeConfig(WithField(kConfig, field, value)),
                        codec_error);
      }
    }
  }
}

TEST_CASE("odd entry: of a field that occurs twice the last one counts") {
  std::string twice = kEntry.dump();
  twice.insert(1, "\"slots\":9,");
  CHECK(DecodeInstance("i", twice).slots == 3);
}

// The error text carried the whole value, and the log line was torn.
TEST_CASE("odd entry: the error for a long value is short") {
  const std::string value(256 << 10, 'x');
  for (const std::string& record :
       {value, '"' + value, WithField(kEntry, "/state", '"' + value + '"'),
        WithField(kEntry, "/address", '"' + value + '"')}) {
    try {
      DecodeInstance("i", record);
      FAIL("the entry was taken");
    } catch (const codec_error& refused) {
      CHECK(std::string(refused.what()).size() < 400);
    }
  }
}

}  // namespace
}  // namespace peridotarch
