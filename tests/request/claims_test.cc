#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "core/invariant.h"
#include "core/random.h"
#include "request/claim_record.h"
#include "request/claimer.h"
#include "tests/request/fake_log.h"

namespace peridotarch {
namespace {

constexpr int64_t kEpochMs = 1'800'000'000'000;
constexpr millis kStart{kEpochMs};

request_key Key(int number, millis issued = kStart) {
  const std::string text =
      std::to_string(issued.count()) + "-token" + std::to_string(1000 + number);
  return *ParseRequestKey("payout-desk", text);
}

// Runs a claimer against the log without delays or faults.
struct claimer_driver {
  claimer claims;
  fake_log& log;

  // Returns the outcomes of the submissions.
  std::vector<claim_outcome> Step(millis now) {
    std::vector<claim_outcome> outcomes;
    for (int round = 0; round < 2; ++round) {
      claims.Read(log.Read(claims.position()), now, kStart + now);
      claimer_actions step = claims.Tick(now, kStart + now);
      if (step.append) {
        log.Append(*step.append, kStart + now);
        claims.OnAppendEnded();
      }
      outcomes.insert(outcomes.end(), step.outcomes.begin(),
                      step.outcomes.end());
    }
    claims.Read(log.Read(claims.position()), now, kStart + now);
    const claimer_actions step = claims.Tick(now, kStart + now);
    outcomes.insert(outcomes.end(), step.outcomes.begin(), step.outcomes.end());
    return outcomes;
  }
  uint64_t Submit(const request_key& key, millis now) {
    return claims.Submit(key, now + millis(1000), now, kStart + now);
  }
};

TEST_CASE("a key consists of an issue time and a token") {
  CHECK(ParseRequestKey("s", "1800000000000-abcdefgh"));
  CHECK_FALSE(ParseRequestKey("s", "1800000000000"));
  CHECK_FALSE(ParseRequestKey("s", "-abcdefgh"));
  CHECK_FALSE(ParseRequestKey("s", "18-abcdefgh"));
  CHECK_FALSE(ParseRequestKey("s", "1800000000000-short"));
  CHECK_FALSE(ParseRequestKey("s", "1800000000000-abc defgh"));
  CHECK_FALSE(ParseRequestKey("s", "x800000000000-abcdefgh"));
  CHECK(ParseRequestKey("a", "1800000000000-abcdefgh")->id !=
        ParseRequestKey("b", "1800000000000-abcdefgh")->id);
}

TEST_CASE("records decode as encoded and damaged ones are rejected") {
  const bool passed = rc::check("claims codec", [](uint64_t writer) {
    claim_batch batch{writer, 7, {}};
    const auto count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      const auto kind = *rc::gen::inRange(0, 4);
      batch.entries.push_back({static_cast<claim_kind>(kind), Key(i),
                               *rc::gen::arbitrary<uint64_t>(),
                               *rc::gen::inRange(0, 600),
                               *rc::gen::arbitrary<uint64_t>()});
    }
    std::string data = EncodeClaims(batch);
    const auto decoded = DecodeClaims(data);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->writer == writer);
    RC_ASSERT(decoded->number == batch.number);
    RC_ASSERT(decoded->entries.size() == batch.entries.size());
    for (size_t i = 0; i < batch.entries.size(); ++i) {
      RC_ASSERT(decoded->entries[i].kind == batch.entries[i].kind);
      RC_ASSERT(decoded->entries[i].key.id == batch.entries[i].key.id);
      RC_ASSERT(decoded->entries[i].sequence == batch.entries[i].sequence);
      RC_ASSERT(decoded->entries[i].read_position ==
                batch.entries[i].read_position);
      RC_ASSERT(decoded->entries[i].status == batch.entries[i].status);
    }
    const auto at = *rc::gen::inRange<size_t>(0, data.size());
    RC_ASSERT(!DecodeClaims(std::string_view(data).substr(0, at)));
    data[at] = static_cast<char>(data[at] ^ 0x20);
    RC_ASSERT(!DecodeClaims(data));
  });
  CHECK(passed);
  CHECK_FALSE(DecodeClaims("foreign"));
}

// Found by scripts/fuzz: a map of 2^31 elements under a valid checksum.
TEST_CASE(
    "a claim record with false lengths is rejected and allocates nothing") {
  for (const std::string_view body :
       {"\x86\x86\x86\x86", "\xdf\x86\x86\x86\x86", "\xdd\xff\xff\xff\xff",
        "\xc6\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff",
        "\x91\x91\x91\x91\x91\x91"}) {
    CHECK_FALSE(DecodeClaims(PrependClaimChecksum(body)));
  }
}

TEST_CASE("the first claim in the log wins and repeats are told its status") {
  SetBreachesFatal(true);
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  claimer_driver b{claimer(2, {}), log};
  const uint64_t first = a.Submit(Key(1), millis(0));
  const auto won = a.Step(millis(0));
  REQUIRE(won.size() == 1);
  CHECK(won[0].won);
  CHECK(a.claims.Holds(first));
  b.Submit(Key(1), millis(20));
  const auto lost = b.Step(millis(20));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].why == reason::kKeyRunning);
  a.claims.Complete(first, 201);
  a.Step(millis(40));
  b.Step(millis(50));
  b.Submit(Key(1), millis(60));
  const auto repeat = b.Step(millis(60));
  REQUIRE(repeat.size() == 1);
  CHECK(repeat[0].why == reason::kKeyAlreadyRan);
  CHECK(repeat[0].status == 201);
}

TEST_CASE("a repeat is told that the outcome is unknown") {
  SetBreachesFatal(true);
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  claimer_driver b{claimer(2, {}), log};
  const uint64_t first = a.Submit(Key(1), millis(0));
  REQUIRE(a.Step(millis(0)).at(0).won);
  a.claims.MarkUnknown(first);
  a.Step(millis(20));
  b.Step(millis(30));
  b.Submit(Key(1), millis(40));
  CHECK(b.Step(millis(40)).at(0).why == reason::kKeyOutcomeUnknown);
}

TEST_CASE("a released key can be claimed again but not by a late record") {
  SetBreachesFatal(true);
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  claimer_driver b{claimer(2, {}), log};
  a.Step(millis(0));
  a.Submit(Key(1), millis(10));
  claimer_actions step = a.claims.Tick(millis(10), kStart + millis(10));
  REQUIRE(step.append);
  const std::string late_record = *step.append;
  // The append is delayed and the deadline passes.
  const auto timed_out = a.claims.Tick(millis(1010), kStart + millis(1010));
  REQUIRE(timed_out.outcomes.size() == 1);
  CHECK(timed_out.outcomes[0].why == reason::kLogAway);
  a.Step(millis(3000));
  log.Append(late_record, kStart + millis(3001));
  const uint64_t again = b.Submit(Key(1), millis(3010));
  const auto won = b.Step(millis(3010));
  REQUIRE(won.size() == 1);
  CHECK(won[0].won);
  b.claims.Release(again, millis(3030));
  b.Step(millis(3600));
  log.Append(late_record, kStart + millis(3640));
  a.Step(millis(3645));
  a.Submit(Key(1), millis(3650));
  CHECK(a.Step(millis(3650)).at(0).won);
}

TEST_CASE("a release is written only after its delay") {
  SetBreachesFatal(true);
  fake_log log;
  claim_limits limits;
  limits.release_delay = millis(300);
  claimer_driver a{claimer(1, {}, limits), log};
  const uint64_t first = a.Submit(Key(1), millis(0));
  REQUIRE(a.Step(millis(0)).at(0).won);
  a.claims.Release(first, millis(100));
  const size_t before = log.size();
  a.Step(millis(99) + limits.release_delay);
  CHECK(log.size() == before);
  a.Step(millis(100) + limits.release_delay);
  CHECK(log.size() == before + 1);
}

TEST_CASE("a submission that came before the release cannot win the key") {
  SetBreachesFatal(true);
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  claimer_driver b{claimer(2, {}), log};
  a.Step(millis(0));
  b.Step(millis(0));
  b.Submit(Key(1), millis(5));
  const uint64_t first = a.Submit(Key(1), millis(10));
  REQUIRE(a.Step(millis(10)).at(0).won);
  a.claims.Release(first, millis(20));
  a.Step(millis(600));
  const auto lost = b.Step(millis(700));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].why == reason::kKeyRunning);
  b.Submit(Key(1), millis(760));
  CHECK(b.Step(millis(760)).at(0).won);
}

TEST_CASE("keys that are too old or too far ahead are refused") {
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  const key_window window;
  const millis old = kStart - window.max_age - millis(1);
  a.Submit(Key(1, old), millis(0));
  CHECK(a.Step(millis(0)).at(0).why == reason::kKeyExpired);
  a.Submit(Key(2, kStart + window.max_lead + millis(100)), millis(20));
  CHECK(a.Step(millis(20)).at(0).why == reason::kKeyInFuture);
}

TEST_CASE("a node does not claim keys that are older than its records") {
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  const uint64_t first = a.Submit(Key(1), millis(0));
  CHECK(a.Step(millis(0)).at(0).won);
  a.claims.MarkUnknown(first);
  a.Submit(Key(2, kStart + millis(200'000)), millis(200'000));
  a.Step(millis(200'000));
  log.Retain(kStart + millis(100'000));
  claimer_driver newcomer{claimer(2, {}), log};
  newcomer.Submit(Key(1), millis(200'100));
  const auto outcome = newcomer.Step(millis(200'100));
  REQUIRE(outcome.size() == 1);
  CHECK_FALSE(outcome[0].won);
  CHECK(outcome[0].why == reason::kKeyExpired);
}

TEST_CASE("waiting claims share one append") {
  fake_log log;
  claimer_driver a{claimer(1, {}), log};
  a.Step(millis(0));
  for (int i = 0; i < 100; ++i) {
    a.Submit(Key(i), millis(10));
  }
  const auto outcomes = a.Step(millis(10));
  CHECK(outcomes.size() == 100);
  CHECK(log.size() == 1);
}

}  // namespace
}  // namespace peridotarch
