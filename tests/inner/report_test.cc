#include "inner/report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "core/error.h"

namespace peridotarch {
namespace {

node_status Example() {
  node_status status;
  status.node = "entry-1";
  status.zone = "a";
  status.incarnation = ~uint64_t{0};
  status.at = {millis(1'700'000'000'123), 7};
  status.revision = 12;
  status.digest = "ab";
  status.members = 36;
  status.doubts_itself = true;
  status.suspects = {"entry-2"};
  status.log_reachable = false;
  status.shards = {
      {"payout",
       0,
       2,
       12,
       3,
       {{"p-1", "a", instance_state::kEjected, "9 of 14 \"failed\"", 3, 1}}}};
  return status;
}

TEST_CASE("a status reads back as it was") {
  REQUIRE(DecodeStatus(EncodeStatus(Example())) == Example());
}

TEST_CASE(
    "a status that lacks any field or has one of another type is refused") {
  const auto whole = nlohmann::json::parse(EncodeStatus(Example()));
  for (const auto& [name, value] : whole.items()) {
    auto changed = whole;
    changed.erase(name);
    REQUIRE_THROWS_AS(DecodeStatus(changed.dump()), codec_error);
    changed[name] = {{"other", 1}};
    INFO(name);
    REQUIRE_THROWS_AS(DecodeStatus(changed.dump()), codec_error);
  }
  auto changed = whole;
  changed["shards"][0]["instances"][0]["state"] = "sleepy";
  REQUIRE_THROWS_AS(DecodeStatus(changed.dump()), codec_error);
  REQUIRE_THROWS_AS(DecodeStatus("{"), codec_error);
}

TEST_CASE("events read back, without those before the time asked for") {
  const std::vector<event> events = {
      {{millis(10), 0}, "n", event_kind::kStarted, "s", "early"},
      {{millis(20), 3}, "n", event_kind::kLogBack, "log", "late \xff"}};
  const auto read = DecodeEvents(EncodeEvents(
      events, DecodeTimelineQuery(EncodeTimelineQuery({millis(11)})).since));
  REQUIRE(read.size() == 1);
  REQUIRE(read[0].at == hybrid_time{millis(20), 3});
  REQUIRE(read[0].kind == event_kind::kLogBack);
  REQUIRE(read[0].detail.rfind("late ", 0) == 0);
  REQUIRE_THROWS_AS(DecodeEvents("{}"), codec_error);
  REQUIRE_THROWS_AS(DecodeEvents("[1]"), codec_error);
}

TEST_CASE("only slots that take their whole share count as capacity") {
  REQUIRE(CountsAsCapacity(instance_state::kOpen));
  REQUIRE(CountsAsCapacity(instance_state::kSuspect));
  for (const auto state :
       {instance_state::kCold, instance_state::kProbation,
        instance_state::kEjected, instance_state::kLeaving}) {
    REQUIRE_FALSE(CountsAsCapacity(state));
  }
}

}  // namespace
}  // namespace peridotarch
