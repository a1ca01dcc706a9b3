#include "config/parse.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>

#include "config/check_rules.h"
#include "config/rule_reader.h"
#include "config/words.h"

namespace peridotarch {

namespace {

constexpr size_t kMaxLineBytes = 4096;
constexpr size_t kMaxSegments = 32;
constexpr int kMaxFloor = 1'000'000;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxRetries = 10;
constexpr int kMaxRate = 10'000'000;
constexpr millis kMinTimeout(1);
constexpr millis kMaxTimeout(600'000);
constexpr millis kMinIsolation(1000);
constexpr millis kMaxIsolation(7 * 24 * 3'600'000);

constexpr std::array<std::string_view, 6> kRuleKeywords = {
    "service", "route", "limit", "drain", "pin", "isolation"};
constexpr std::string_view kRuleList =
    "service, route, limit, drain, pin, isolation";
constexpr std::array<std::string_view, 8> kMethods = {
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

// Returns the part of a rule's comment before the colon: the comment
// "treasury: closures must not stall" names "treasury".
std::string RequesterOf(std::string_view comment) {
  return std::string(comment.substr(0, comment.find(':')));
}

service_rule ReadService(rule_reader& in) {
  service_rule rule;
  rule.name = in.ReadName("the service's name");
  const property properties[] = {
      {"floor", true, true,
       [&](const word& w) {
         rule.floor = in.ParseBoundedNumber(w, 0, kMaxFloor, "");
       }},
      {"slots/instance", true, true,
       [&](const word& w) {
         rule.slots_per_instance = in.ParseBoundedNumber(w, 1, kMaxSlots, "");
       }},
      {"weigh", true, true,
       [&](const word& w) {
         const auto weight = FromName<ejection_tradeoff>(w.text);
         if (!weight) {
           in.AddProblem(
               w, "detection-time, false-ejections",
               NearestWord(w.text, names_of<ejection_tradeoff>::kTable));
         }
         rule.weigh = weight.value_or(ejection_tradeoff::kFalseEjections);
       }},
  };
  in.ReadProperties(properties);
  return rule;
}

// The bytes of letters outside ASCII are negative as a char on x86-64.
bool IsPathByte(unsigned char byte) { return byte > 0x20; }

// Segments are compared byte by byte, so a pattern must not contain a query or
// an empty segment, which a normalized path never has.
void CheckRoutePattern(rule_reader& in, const word& pattern) {
  std::string_view rest = pattern.text;
  bool is_valid = rest.starts_with('/') &&
                  rest.find_first_of("?#%\\") == std::string_view::npos &&
                  std::ranges::all_of(rest, IsPathByte);
  size_t segments = 0;
  while (is_valid && !rest.empty()) {
    rest.remove_prefix(1);
    const size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    const bool is_last = end == rest.size();
    rest.remove_prefix(end);
    const bool has_star = segment.find('*') != std::string_view::npos;
    is_valid = (!has_star || segment == "*" || (segment == "**" && is_last)) &&
               (!segment.empty() || is_last) && segment != "." &&
               segment != ".." && ++segments <= kMaxSegments;
  }
  if (!is_valid) {
    in.AddProblem(
        pattern,
        "a path of up to 32 segments from '/', each a literal, '*' for "
        "any one or a final '**' for any rest, without '?', '%', '\\', "
        "'.' or '..' segments");
  }
}

void ReadMethod(rule_reader& in, route_rule& rule) {
  const auto method = in.ReadWord("the route's method");
  if (!method) {
    return;
  }
  if (std::ranges::find(kMethods, method->text) == kMethods.end()) {
    in.AddProblem(*method, "*, GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
                  NearestWord(method->text, kMethods));
  }
  rule.method = method->text;
}

route_rule ReadRoute(rule_reader& in) {
  route_rule rule;
  ReadMethod(in, rule);
  if (const auto pattern = in.ReadWord("the route's path")) {
    CheckRoutePattern(in, *pattern);
    rule.pattern = pattern->text;
  }
  in.ReadLiteral("->");
  rule.service = in.ReadName("the service's name");
  int marks_seen = 0;
  const auto mark = [&](const word& w, bool idempotent) {
    if (++marks_seen == 2) {
      in.AddProblem(w, "one of idempotent and non-idempotent");
    }
    rule.idempotent = idempotent;
  };
  const property properties[] = {
      {"idempotent", false, false, [&](const word& w) { mark(w, true); }},
      {"non-idempotent", false, false, [&](const word& w) { mark(w, false); }},
      {"timeout", true, true,
       [&](const word& w) {
         rule.timeout = in.ParseBoundedDuration(w, kMinTimeout, kMaxTimeout);
       }},
      {"retries", true, false,
       [&](const word& w) {
         rule.retries = in.ParseBoundedNumber(w, 0, kMaxRetries, "");
       }},
  };
  in.ReadProperties(properties);
  if (marks_seen == 0) {
    in.AddMissing("idempotent or non-idempotent");
  }
  return rule;
}

limit_rule ReadLimit(rule_reader& in) {
  limit_rule rule;
  in.ReadLiteral("team");
  rule.team = in.ReadName("the team's name");
  const property properties[] = {
      {"rate", true, true,
       [&](const word& w) {
         rule.rate = in.ParseBoundedNumber(w, 1, kMaxRate, "/s");
       }},
      {"burst", true, true,
       [&](const word& w) {
         rule.burst = in.ParseBoundedNumber(w, 1, kMaxRate, "");
       }},
  };
  in.ReadProperties(properties);
  return rule;
}

instance_rule ReadInstance(rule_reader& in, instance_rule::action act) {
  instance_rule rule;
  rule.act = act;
  rule.service = in.ReadName("the service's name");
  rule.instance = in.ReadName("the instance's id");
  in.ReadProperties({});
  return rule;
}

isolation_rule ReadIsolation(rule_reader& in) {
  isolation_rule rule;
  const property properties[] = {
      {"serve", true, true,
       [&](const word& w) {
         if (w.text == "forever") {
           rule.serve = kServeForever;
         } else {
           rule.serve =
               in.ParseBoundedDuration(w, kMinIsolation, kMaxIsolation);
         }
       }},
  };
  in.ReadProperties(properties);
  return rule;
}

template <typename Rule>
void AddRule(std::vector<Rule>& list, Rule rule, int line,
             std::string asked_by) {
  rule.line = line;
  rule.asked_by = std::move(asked_by);
  list.push_back(std::move(rule));
}

// Parses one line. A line without words is blank or only a comment.
void ReadLine(int line, std::string_view text, parse_result& out) {
  if (text.size() > kMaxLineBytes) {
    out.problems.push_back({line, static_cast<int>(kMaxLineBytes) + 1,
                            std::to_string(text.size()) + " bytes",
                            "a line of up to 4096 bytes", ""});
    return;
  }
  const split_line split = SplitLine(text);
  if (split.words.empty()) {
    return;
  }
  rule_reader in(line, split, &out.problems);
  const word kind = *in.ReadWord("a rule");
  const std::string by = RequesterOf(split.comment);
  using action = instance_rule::action;
  if (kind.text == "service") {
    AddRule(out.rule_set.services, ReadService(in), line, by);
  } else if (kind.text == "route") {
    AddRule(out.rule_set.routes, ReadRoute(in), line, by);
  } else if (kind.text == "limit") {
    AddRule(out.rule_set.limits, ReadLimit(in), line, by);
  } else if (kind.text == "drain") {
    AddRule(out.rule_set.instances, ReadInstance(in, action::kDrain), line, by);
  } else if (kind.text == "pin") {
    AddRule(out.rule_set.instances, ReadInstance(in, action::kPin), line, by);
  } else if (kind.text == "isolation") {
    if (out.rule_set.isolation.line != 0) {
      in.AddProblem(kind, "one isolation line; the first is on line " +
                              std::to_string(out.rule_set.isolation.line));
    }
    out.rule_set.isolation = ReadIsolation(in);
    out.rule_set.isolation.line = line;
    out.rule_set.isolation.asked_by = by;
  } else {
    in.AddProblem(kind, std::string(kRuleList),
                  NearestWord(kind.text, kRuleKeywords));
  }
  if (by.empty()) {
    in.AddMissing("a comment '# WHO: why' that names who asked for the rule");
  }
}

}  // namespace

parse_result ParseRules(std::string_view text) {
  parse_result result;
  if (text.size() > kMaxTextBytes) {
    result.problems.push_back({1, 1, std::to_string(text.size()) + " bytes",
                               "a file of up to 8388608 bytes", ""});
    return result;
  }
  int line = 0;
  for (const std::string_view content : SplitText(text)) {
    ReadLine(++line, content, result);
  }
  CheckRules(result.rule_set, SplitText(text), result.problems);
  std::ranges::stable_sort(result.problems, {}, [](const problem& p) {
    return std::tuple(p.line, p.column);
  });
  return result;
}

}  // namespace peridotarch
