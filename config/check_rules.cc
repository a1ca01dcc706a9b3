#include "config/check_rules.h"

#include <string>
#include <unordered_map>

#include "config/words.h"

namespace peridotarch {

namespace {

/// Finds duplicate rules and references to names that do not exist.
class checker {
 public:
  checker(const std::vector<std::string_view>& lines,
          std::vector<problem>& problems)
      : lines_(lines), problems_(problems) {}

  // Adds a problem if `key` was seen before; `word_index` is the word at fault.
  void CheckUnique(std::unordered_map<std::string, int>& seen,
                   const std::string& key, int line, size_t word_index,
                   std::string_view what) {
    const auto [at, is_new] = seen.emplace(key, line);
    if (!is_new) {
      AddProblem(line, word_index,
                 std::string(what) + " once; the first is on line " +
                     std::to_string(at->second),
                 "");
    }
  }

  void AddProblem(int line, size_t word_index, std::string allowed,
                  std::string nearest) {
    const split_line split = SplitLine(lines_[static_cast<size_t>(line) - 1]);
    if (word_index >= split.words.size()) {
      return;  // The line is incomplete, which is already a problem.
    }
    const word& at = split.words[word_index];
    problems_.push_back({line, at.column, Quote(at.text), std::move(allowed),
                         std::move(nearest)});
  }

 private:
  const std::vector<std::string_view>& lines_;
  std::vector<problem>& problems_;
};

// Indexes of words within a line.
constexpr size_t kServiceNameWord = 1;
constexpr size_t kRoutePatternWord = 2;
constexpr size_t kRouteServiceWord = 4;
constexpr size_t kLimitTeamWord = 2;
constexpr size_t kInstanceServiceWord = 1;
constexpr size_t kInstanceIdWord = 2;

}  // namespace

void CheckRules(const rules& rule_set,
                const std::vector<std::string_view>& lines,
                std::vector<problem>& problems) {
  checker check(lines, problems);
  std::unordered_map<std::string, int> services;
  std::vector<std::string_view> names;
  for (const service_rule& rule : rule_set.services) {
    check.CheckUnique(services, rule.name, rule.line, kServiceNameWord,
                      "each service");
    names.push_back(rule.name);
  }
  const auto check_exists = [&](const std::string& name, int line,
                                size_t word) {
    if (!services.contains(name)) {
      check.AddProblem(line, word, "a service that a service line names",
                       NearestWord(name, names));
    }
  };
  std::unordered_map<std::string, int> routes;
  for (const route_rule& rule : rule_set.routes) {
    check.CheckUnique(routes, rule.method + " " + rule.pattern, rule.line,
                      kRoutePatternWord, "each method and path");
    check_exists(rule.service, rule.line, kRouteServiceWord);
  }
  std::unordered_map<std::string, int> teams;
  for (const limit_rule& rule : rule_set.limits) {
    check.CheckUnique(teams, rule.team, rule.line, kLimitTeamWord, "each team");
  }
  std::unordered_map<std::string, int> instances;
  for (const instance_rule& rule : rule_set.instances) {
    check.CheckUnique(instances, rule.service + " " + rule.instance, rule.line,
                      kInstanceIdWord, "each instance, drained or pinned,");
    check_exists(rule.service, rule.line, kInstanceServiceWord);
  }
}

}  // namespace peridotarch
