#include "config/check_rules.h"

#include <string>
#include <unordered_map>

#include "config/words.h"

namespace peridotarch {

namespace {

/// Finds things that stand twice and names that do not exist.
class checker {
 public:
  checker(const std::vector<std::string_view>& lines,
          std::vector<problem>& problems)
      : lines_(lines), problems_(problems) {}

  // Notes a second `key` of the same kind; `word_index` is the word at fault.
  void Unique(std::unordered_map<std::string, int>& seen,
              const std::string& key, int line, size_t word_index,
              std::string_view what) {
    const auto [at, fresh] = seen.emplace(key, line);
    if (!fresh) {
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
      return;  // The line's own error has been noted.
    }
    const word& at = split.words[word_index];
    problems_.push_back({line, at.column, Quote(at.text), std::move(allowed),
                         std::move(nearest)});
  }

 private:
  const std::vector<std::string_view>& lines_;
  std::vector<problem>& problems_;
};

// Places of words within a rule.
constexpr size_t kServiceName = 1;
constexpr size_t kRoutePattern = 2;
constexpr size_t kRouteService = 4;
constexpr size_t kLimitTeam = 2;
constexpr size_t kInstanceService = 1;
constexpr size_t kInstanceId = 2;

}  // namespace

void CheckRules(const rules& rule_set,
                const std::vector<std::string_view>& lines,
                std::vector<problem>& problems) {
  checker check(lines, problems);
  std::unordered_map<std::string, int> services;
  std::vector<std::string_view> names;
  for (const service_rule& rule : rule_set.services) {
    check.Unique(services, rule.name, rule.line, kServiceName, "each service");
    names.push_back(rule.name);
  }
  const auto must_exist = [&](const std::string& name, int line, size_t word) {
    if (!services.contains(name)) {
      check.AddProblem(line, word, "a service that a service line names",
                       NearestWord(name, names));
    }
  };
  std::unordered_map<std::string, int> routes;
  for (const route_rule& rule : rule_set.routes) {
    check.Unique(routes, rule.method + " " + rule.pattern, rule.line,
                 kRoutePattern, "each method and path");
    must_exist(rule.service, rule.line, kRouteService);
  }
  std::unordered_map<std::string, int> teams;
  for (const limit_rule& rule : rule_set.limits) {
    check.Unique(teams, rule.team, rule.line, kLimitTeam, "each team");
  }
  std::unordered_map<std::string, int> instances;
  for (const instance_rule& rule : rule_set.instances) {
    check.Unique(instances, rule.service + " " + rule.instance, rule.line,
                 kInstanceId, "each instance, drained or pinned,");
    must_exist(rule.service, rule.line, kInstanceService);
  }
}

}  // namespace peridotarch
