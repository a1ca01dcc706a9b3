#include "inner/channel.h"

#include <catch2/catch.hpp>
#include <string>

namespace peridotarch {
namespace {

TEST_CASE("a mark is accepted once, in order, on its own connection") {
  channel client("key", "nonce");
  channel server("key", "nonce");
  const std::string first = client.Mark("GET /a");
  const std::string second = client.Mark("GET /b");
  REQUIRE_FALSE(server.Verify(second, "GET /b"));
  REQUIRE(server.Verify(first, "GET /a"));
  REQUIRE_FALSE(server.Verify(first, "GET /a"));
  REQUIRE(server.Verify(second, "GET /b"));
}

TEST_CASE("a mark for another key, nonce or text is refused") {
  const std::string mark = channel("key", "nonce").Mark("text");
  REQUIRE_FALSE(channel("other", "nonce").Verify(mark, "text"));
  REQUIRE_FALSE(channel("key", "another").Verify(mark, "text"));
  REQUIRE_FALSE(channel("key", "nonce").Verify(mark, "texu"));
  REQUIRE_FALSE(channel("key", "nonce").Verify("", "text"));
  REQUIRE(channel("key", "nonce").Verify(mark, "text"));
}

TEST_CASE("nonces differ") { REQUIRE(MakeNonce() != MakeNonce()); }

}  // namespace
}  // namespace peridotarch
