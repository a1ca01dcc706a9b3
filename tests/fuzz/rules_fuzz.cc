// Rules files: the parser finds a place inside the file for every problem, and
// a file without one makes a snapshot whose routes match.
#include <algorithm>

#include "config/parse.h"
#include "config/snapshot.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

void CheckProblems(std::string_view text, const parse_result& parsed) {
  const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
  for (const problem& each : parsed.problems) {
    Require(each.line >= 1 && each.line <= lines + 1);
    Require(each.column >= 1);
    Require(!each.allowed.empty());
    Require(!ToText(each).empty());
  }
}

void CheckSnapshot(std::string_view text) {
  const auto snapshot = MakeSnapshot(1, std::string(text));
  for (const route_rule& route : snapshot->rule_set.routes) {
    Require(snapshot->FindService(route.service) != nullptr);
    const route_rule* found =
        snapshot->routes.Match(route.method, route.pattern);
    Require(found != nullptr);
  }
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  const parse_result parsed = ParseRules(text);
  CheckProblems(text, parsed);
  if (parsed.problems.empty()) {
    CheckSnapshot(text);
  }
  return 0;
}
