#include "inner/seal.h"

#include <catch2/catch.hpp>
#include <string>

namespace peridotarch {
namespace {

constexpr millis kWindow(5000);
constexpr millis kNow(1'000'000);

seal_result Open(unsealer& from, const std::string& message,
                 millis wall = kNow) {
  std::string_view body;
  std::string_view sender;
  return from.Open(message, wall, &body, &sender);
}

TEST_CASE("a sealed message opens once, with its sender and body") {
  sealer seal("key", "node-1/7");
  unsealer open("key", kWindow);
  const std::string message = seal.Seal("hello", kNow);
  std::string_view body;
  std::string_view sender;
  REQUIRE(open.Open(message, kNow, &body, &sender) == seal_result::kAccepted);
  REQUIRE(body == "hello");
  REQUIRE(sender == "node-1/7");
  REQUIRE(Open(open, message) == seal_result::kReplayed);
}

TEST_CASE("messages may overtake each other within the replay window") {
  sealer seal("key", "node");
  unsealer open("key", kWindow);
  const std::string first = seal.Seal("1", kNow);
  const std::string second = seal.Seal("2", kNow);
  REQUIRE(Open(open, second) == seal_result::kAccepted);
  REQUIRE(Open(open, first) == seal_result::kAccepted);
  REQUIRE(Open(open, first) == seal_result::kReplayed);
}

TEST_CASE("a message far behind the newest is refused") {
  sealer seal("key", "node");
  unsealer open("key", kWindow);
  const std::string old = seal.Seal("old", kNow);
  for (int i = 0; i < 64; ++i) {
    REQUIRE(Open(open, seal.Seal("new", kNow)) == seal_result::kAccepted);
  }
  REQUIRE(Open(open, old) == seal_result::kReplayed);
}

TEST_CASE("every changed byte and every cut is refused") {
  sealer seal("key", "node");
  unsealer open("key", kWindow);
  const std::string message = seal.Seal("body", kNow);
  for (size_t i = 0; i < message.size(); ++i) {
    std::string changed = message;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    REQUIRE(Open(open, changed) != seal_result::kAccepted);
    REQUIRE(Open(open, message.substr(0, i)) != seal_result::kAccepted);
  }
  REQUIRE(Open(open, message) == seal_result::kAccepted);
}

TEST_CASE("a foreign key or a clock out of the window is refused") {
  sealer seal("key", "node");
  sealer foreign("other", "node");
  unsealer open("key", kWindow);
  REQUIRE(Open(open, foreign.Seal("x", kNow)) == seal_result::kForged);
  const std::string message = seal.Seal("x", kNow);
  REQUIRE(Open(open, message, kNow + kWindow + millis(1)) ==
          seal_result::kStale);
  REQUIRE(Open(open, message, kNow - kWindow - millis(1)) ==
          seal_result::kStale);
}

}  // namespace
}  // namespace peridotarch
