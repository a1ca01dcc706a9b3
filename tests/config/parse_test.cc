#include "config/parse.h"

#include <catch2/catch.hpp>
#include <string>

#include "config/route_table.h"
#include "config/snapshot.h"
#include "core/error.h"

namespace peridotarch {
namespace {

constexpr std::string_view kService =
    "service desk floor 12 slots/instance 3 weigh false-ejections  # treasury: "
    "few instances\n";

std::vector<problem> Problems(const std::string& line) {
  return ParseRules(std::string(kService) + line).problems;
}

TEST_CASE("every kind of rule is parsed") {
  const parse_result result = ParseRules(std::string(kService) + R"(
# A free comment.
route POST /payouts -> desk non-idempotent timeout 2s  # treasury: once
route GET /boxes/* -> desk idempotent retries 2 timeout 800ms  # lookup team
limit team kiosks rate 20/s burst 40  # lookup team: kiosks poll
drain desk i-1  # ops
pin desk i-2  # ops
isolation serve 10m  # ops
)");
  REQUIRE(result.problems.empty());
  const rules& rule_set = result.rule_set;
  CHECK(rule_set.services.at(0).floor == 12);
  CHECK(rule_set.services.at(0).slots_per_instance == 3);
  CHECK(rule_set.services.at(0).weigh == ejection_tradeoff::kFalseEjections);
  CHECK(rule_set.services.at(0).asked_by == "treasury");
  CHECK_FALSE(rule_set.routes.at(0).idempotent);
  CHECK(rule_set.routes.at(0).timeout == millis(2000));
  CHECK(rule_set.routes.at(1).retries == 2);
  CHECK(rule_set.routes.at(1).timeout == millis(800));
  CHECK(rule_set.limits.at(0).rate == 20);
  CHECK(rule_set.limits.at(0).burst == 40);
  CHECK(rule_set.instances.at(0).act == instance_rule::action::kDrain);
  CHECK(rule_set.instances.at(1).act == instance_rule::action::kPin);
  CHECK(rule_set.isolation.serve == millis(600'000));
}

// Nodes on x86-64 refused rules that nodes on arm64 took.
TEST_CASE("a path may have letters outside ASCII") {
  CHECK(Problems("route GET /caf\xc3\xa9 -> desk idempotent timeout 1s # a\n")
            .empty());
}

TEST_CASE("each problem has a position, what was found and what is allowed") {
  struct example {
    std::string line;
    int column;
    std::string found;
    std::string allowed;  // A substring.
    std::string nearest;
  };
  const example examples[] = {
      {"rout GET /a -> desk idempotent timeout 1s # a", 1, "\"rout\"",
       "service, route", "route"},
      {"route GRT /a -> desk idempotent timeout 1s # a", 7, "\"GRT\"", "POST",
       "GET"},
      {"route GET a -> desk idempotent timeout 1s # a", 11, "\"a\"", "a path",
       ""},
      {"route GET /a/../b -> desk idempotent timeout 1s # a", 11, "\"/a/../b\"",
       "a path", ""},
      {"route GET /a => desk idempotent timeout 1s # a", 14, "\"=>\"", "->",
       "->"},
      {"route GET /a -> dsk idempotent timeout 1s # a", 17, "\"dsk\"",
       "a service", "desk"},
      {"route GET /a -> desk timeout 1s # a", 32, "end of line",
       "idempotent or non-idempotent", ""},
      {"route GET /a -> desk idempotent non-idempotent timeout 1s # a", 33,
       "\"non-idempotent\"", "one of", ""},
      {"route GET /a -> desk idempotent # a", 32, "end of line", "timeout", ""},
      {"route GET /a -> desk idempotent timeout 1s retry 1 # a", 44,
       "\"retry\"", "retries", "retries"},
      {"route GET /a -> desk idempotent timeout 1x # a", 41, "\"1x\"",
       "a duration", ""},
      {"route GET /a -> desk idempotent timeout 11m # a", 41, "\"11m\"",
       "to 10m", ""},
      {"route GET /a -> desk idempotent timeout 1s timeout 2s # a", 44,
       "\"timeout\"", "once", ""},
      {"route GET /a -> desk idempotent timeout 1s", 43, "end of line",
       "names who asked", ""},
      {"route GET /a -> desk idempotent timeout 1s #  : x", 43, "end of line",
       "names who asked", ""},
      {"service desk floor 1 slots/instance 1 weigh false-ejections # a", 9,
       "\"desk\"", "once; the first is on line 1", ""},
      {"service x floor -1 slots/instance 1 weigh false-ejections # a", 17,
       "\"-1\"", "a whole number", ""},
      {"service x floor 1 slots/instance 1 weigh false-ejection # a", 42,
       "\"false-ejection\"", "detection-time", "false-ejections"},
      {"limit team k rate 20 burst 4 # a", 19, "\"20\"", "followed by /s", ""},
      {"limit tem k rate 20/s burst 4 # a", 7, "\"tem\"", "team", "team"},
      {"drain desk # a", 11, "end of line", "instance", ""},
      {"pin desk i/1 # a", 10, "\"i/1\"", "letters", ""},
      {"isolation serve never # a", 17, "\"never\"", "a duration", ""},
  };
  for (const example& e : examples) {
    INFO(e.line);
    const std::vector<problem> problems = Problems(e.line);
    REQUIRE(problems.size() >= 1);
    CHECK(problems[0].line == 2);
    CHECK(problems[0].column == e.column);
    CHECK(problems[0].found == e.found);
    CHECK(problems[0].allowed.find(e.allowed) != std::string::npos);
    CHECK(problems[0].nearest == e.nearest);
  }
}

TEST_CASE("all problems are reported, sorted by position") {
  const std::vector<problem> problems =
      Problems("route GRT b -> dsk timeout 0s\nlimit team a rate 1 burst x\n");
  std::vector<std::pair<int, int>> places;
  for (const problem& p : problems) {
    places.emplace_back(p.line, p.column);
  }
  CHECK(places == std::vector<std::pair<int, int>>{{2, 7},
                                                   {2, 11},
                                                   {2, 16},
                                                   {2, 28},
                                                   {2, 30},
                                                   {2, 30},
                                                   {3, 19},
                                                   {3, 27},
                                                   {3, 28}});
}

TEST_CASE("the most specific route wins regardless of the order of lines") {
  const std::string lines[] = {
      "route * /** -> desk idempotent timeout 1s # a\n",
      "route GET /a/* -> desk idempotent timeout 2s # a\n",
      "route GET /a/b -> desk idempotent timeout 3s # a\n",
      "route * /a/b -> desk idempotent timeout 4s # a\n",
      "route POST /a/*/c -> desk idempotent timeout 5s # a\n",
      "route GET /a/** -> desk idempotent timeout 6s # a\n",
  };
  for (const bool reversed : {false, true}) {
    std::string text(kService);
    for (size_t i = 0; i < std::size(lines); ++i) {
      text += lines[reversed ? std::size(lines) - 1 - i : i];
    }
    const auto snapshot = MakeSnapshot(1, text);
    const auto seconds = [&](std::string_view method, std::string_view path) {
      const route_rule* rule = snapshot->routes.Match(method, path);
      return rule == nullptr ? 0 : rule->timeout.count() / 1000;
    };
    CHECK(seconds("GET", "/a/b") == 3);
    CHECK(seconds("GET", "/a/b?x=/y") == 3);
    CHECK(seconds("PUT", "/a/b") == 4);
    CHECK(seconds("GET", "/a/x") == 2);
    CHECK(seconds("PUT", "/a/x") == 1);
    CHECK(seconds("POST", "/a/b/c") == 5);
    CHECK(seconds("GET", "/a/b/c") == 6);
    CHECK(seconds("GET", "/a/") == 6);
    CHECK(seconds("GET", "/") == 1);
    CHECK(seconds("GET", "a") == 0);
  }
}

TEST_CASE("a snapshot finds rules by name; an invalid file throws") {
  const auto snapshot = MakeSnapshot(
      7, std::string(kService) + "limit team k rate 2/s burst 4 # a\n" +
             "drain desk i-1 # a\n");
  CHECK(snapshot->revision == 7);
  CHECK(snapshot->FindService("desk")->floor == 12);
  CHECK(snapshot->FindService("none") == nullptr);
  CHECK(snapshot->FindLimit("k")->rate == 2);
  CHECK(snapshot->FindLimit("l") == nullptr);
  CHECK(snapshot->FindInstance("desk", "i-1") != nullptr);
  CHECK(snapshot->FindInstance("desk", "i-2") == nullptr);
  CHECK_THROWS_AS(MakeSnapshot(8, "service x\n"), codec_error);
}

}  // namespace
}  // namespace peridotarch
