#include "inner/gossip.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "core/error.h"

namespace peridotarch {
namespace {

gossip_message Example() {
  gossip_message message;
  message.kind = gossip_kind::kSyncReply;
  message.at = {millis(1'700'000'000'123), 7};
  message.sender = {
      "entry-1", 9,  3,        "10.0.0.1", 7001, "zone-a", member_state::kAlive,
      true,      12, 0xfeedULL};
  message.number = 42;
  message.target = "entry-2";
  message.members = {message.sender};
  message.revisions = {{77, 12}};
  message.leaving = {{"payout-desk", "payout-3", 5}};
  message.buckets = {1, 2, 3};
  message.opinions = {
      {"payout-desk", "payout-3", 5, "10.0.1.3", 8080, true, millis(25)}};
  return message;
}

TEST_CASE("a gossip message comes back as it was sent") {
  const gossip_message sent = Example();
  const gossip_message got = DecodeGossip(Encode(sent));
  REQUIRE(got.kind == sent.kind);
  REQUIRE(got.at == sent.at);
  REQUIRE(got.sender == sent.sender);
  REQUIRE(got.number == sent.number);
  REQUIRE(got.target == sent.target);
  REQUIRE(got.members == sent.members);
  REQUIRE(got.revisions == sent.revisions);
  REQUIRE(got.leaving == sent.leaving);
  REQUIRE(got.buckets == sent.buckets);
  REQUIRE(got.opinions == sent.opinions);
}

TEST_CASE("every cut of a gossip message is refused") {
  const std::string bytes = Encode(Example());
  for (size_t i = 0; i < bytes.size(); ++i) {
    REQUIRE_THROWS_AS(DecodeGossip(bytes.substr(0, i)), codec_error);
  }
  REQUIRE_THROWS_AS(DecodeGossip(bytes + "x"), codec_error);
}

TEST_CASE("changed bytes decode to a message or throw codec_error") {
  const std::string bytes = Encode(Example());
  REQUIRE(rc::check([&] {
    std::string changed = bytes;
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    changed[at] = *rc::gen::arbitrary<char>();
    try {
      (void)Encode(DecodeGossip(changed));
    } catch (const codec_error&) {
      RC_SUCCEED("refused");
    }
  }));
}

}  // namespace
}  // namespace peridotarch
