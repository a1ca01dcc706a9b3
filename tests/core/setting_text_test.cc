#include <catch2/catch.hpp>
#include <string>

#include "core/fold.h"
#include "core/host_port.h"
#include "core/span_text.h"

namespace peridotarch {
namespace {

TEST_CASE("an address is an IP number and a port") {
  REQUIRE(ParseHostPort("10.0.0.1:80") == host_port{"10.0.0.1", 80});
  REQUIRE(ParseHostPort("[::1]:65535") == host_port{"::1", 65535});
  for (const char* bad :
       {"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:-1", "10.0.0.1:8o", "10.0.0.1: 80", "10.0.0:80", "::1:80",
        "[::1]", "[]:80", "[10.0.0.1]:80", "[::1:80", "host:80"}) {
    INFO(bad);
    REQUIRE_FALSE(ParseHostPort(bad).has_value());
  }
}

TEST_CASE("a span is a number and a unit within its bounds") {
  const auto parse = [](const std::string& text) {
    return ParseSpan(text, millis(100), millis(7'200'000));
  };
  REQUIRE(parse("100ms") == millis(100));
  REQUIRE(parse("2s") == millis(2000));
  REQUIRE(parse("15m") == millis(900'000));
  REQUIRE(parse("2h") == millis(7'200'000));
  for (const char* bad :
       {"", "ms", "99ms", "3h", "2", "-2s", "2 s", "2sec", "1.5s",
        "99999999999999999999s", "9223372036854775807h"}) {
    INFO(bad);
    REQUIRE_FALSE(parse(bad).has_value());
  }
}

TEST_CASE("a fold depends on every value and on the order") {
  const auto folded = [](std::initializer_list<uint64_t> values) {
    fold all;
    for (const uint64_t value : values) {
      all.Add(value);
    }
    return all.value();
  };
  REQUIRE(folded({1, 2}) == folded({1, 2}));
  REQUIRE(folded({1, 2}) != folded({2, 1}));
  REQUIRE(folded({1, 2}) != folded({1, 3}));
  REQUIRE(folded({0}) != folded({}));
  REQUIRE(folded({0, 0}) != folded({0}));
}

}  // namespace
}  // namespace peridotarch
