#include <catch2/catch.hpp>
#include <iostream>
#include <random>
#include <string>

#include "config/line_diff.h"
#include "config/parse.h"
#include "config/record.h"
#include "config/revision_chain.h"
#include "core/random.h"
#include "tests/config/fleet.h"

namespace peridotarch {
namespace {

constexpr int kRuns = 20'000;

// Replaces, removes, repeats or truncates bytes at random.
std::string Mutate(std::string text, random_bits& random) {
  for (uint64_t n = 1 + random.Below(4); n > 0 && !text.empty(); --n) {
    const size_t at = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, random.Below(20));
        break;
      case 2:
        text.insert(at, text.substr(random.Below(text.size()), 20));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

random_bits MakeRandom(const char* what) {
  const uint64_t seed = std::random_device()();
  std::cout << what << ": seed " << seed << '\n';
  return random_bits(seed);
}

TEST_CASE("a mutated rules file is valid or its problems have positions") {
  random_bits random = MakeRandom("mutated files");
  const std::string sound =
      "service desk floor 3 slots/instance 3 weigh false-ejections # a\n"
      "route GET /a/*/** -> desk idempotent timeout 800ms retries 2 # b: c\n"
      "limit team kiosks rate 20/s burst 40 # c\ndrain desk i-1 # d\n"
      "isolation serve 10m # e\n";
  for (int i = 0; i < kRuns; ++i) {
    const std::string text = Mutate(sound, random);
    const parse_result result = ParseRules(text);
    const auto lines = static_cast<int>(LinesWithEnds(text).size());
    for (const problem& p : result.problems) {
      REQUIRE(p.line >= 1);
      REQUIRE(p.line <= lines);
      REQUIRE(p.column >= 1);
      REQUIRE_FALSE(p.found.empty());
      REQUIRE_FALSE(p.allowed.empty());
    }
    if (result.problems.empty()) {
      REQUIRE(MakeSnapshot(1, text)->text == text);
    }
  }
}

TEST_CASE("a mutated record never changes the head") {
  random_bits random = MakeRandom("mutated records");
  publish_record record;
  const std::string text = TestRules(6, 0, "x");
  record.text_digest = Sha256(text);
  record.edits = DiffLines("", text);
  const std::string bytes = EncodeRecord(record, kTestKey);
  revision_chain chain(kTestKey);
  for (int i = 0; i < kRuns; ++i) {
    const std::string mutated = Mutate(bytes, random);
    if (mutated == bytes) {
      continue;
    }
    const applied_record applied =
        chain.Apply(static_cast<uint64_t>(i), millis(), mutated);
    REQUIRE(applied.outcome != apply_outcome::kAccepted);
    REQUIRE(chain.head().id == revision_id());
  }
  CHECK(chain.Apply(kRuns, millis(), bytes).outcome ==
        apply_outcome::kAccepted);
}

TEST_CASE("signed records with a wrong digest, edit or rule are void") {
  revision_chain chain(kTestKey);
  publish_record record;
  record.edits = DiffLines("", "rout\n");
  const auto outcome = [&] {
    return chain.Apply(0, millis(), EncodeRecord(record, kTestKey)).outcome;
  };
  CHECK(outcome() == apply_outcome::kVoidBadDigest);
  record.text_digest = Sha256("rout\n");
  CHECK(outcome() == apply_outcome::kVoidBadRules);
  record.edits[0].removed = 1;
  CHECK(outcome() == apply_outcome::kVoidBadDigest);
  CHECK(
      chain.Apply(0, millis(), std::string(kMaxRecordBytes + 1, 'x')).outcome ==
      apply_outcome::kVoidOversize);
  CHECK(chain.Apply(0, millis(), EncodeRecord(record, "another key")).outcome ==
        apply_outcome::kVoidForged);
}

TEST_CASE("the edits of a diff turn the base into the changed text") {
  random_bits random = MakeRandom("differences");
  for (int i = 0; i < 2000; ++i) {
    std::string texts[2];
    for (std::string& text : texts) {
      for (uint64_t n = random.Below(30); n > 0; --n) {
        text += std::string(1, static_cast<char>('a' + random.Below(5)));
        text += random.Below(20) == 0 ? "" : "\n";
      }
    }
    REQUIRE(ApplyEdits(texts[0], DiffLines(texts[0], texts[1])) == texts[1]);
  }
}

}  // namespace
}  // namespace peridotarch
