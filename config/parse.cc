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

constexpr std::array<std::string_view, 6> kRuleWords = {
    "service", "route", "limit", "drain", "pin", "isolation"};
constexpr std::string_view kRuleList =
    "service, route, limit, drain, pin, isolation";
constexpr std::array<std::string_view, 8> kMethods = {
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

// "treasury: closures must not stall" was asked for by "treasury".
std::string Asker(std::string_view comment) {
  return std::string(comment.substr(0, comment.find(':')));
}

service_rule ReadService(rule_reader& in) {
  service_rule rule;
  rule.name = in.Name("the service's name");
  const property properties[] = {
      {"floor", true, true,
       [&](const word& w) { rule.floor = in.Number(w, 0, kMaxFloor, ""); }},
      {"slots/instance", true, true,
       [&](const word& w) {
         rule.slots_per_instance = in.Number(w, 1, kMaxSlots, "");
       }},
      {"weigh", true, true,
       [&](const word& w) {
         const auto weight = FromName<eject_weight>(w.text);
         if (!weight) {
           in.Refuse(w, "detection-time, false-ejections",
                     NearestWord(w.text, names_of<eject_weight>::kTable));
         }
         rule.weigh = weight.value_or(eject_weight::kFalseEjections);
       }},
  };
  in.Properties(properties);
  return rule;
}

// Segments are compared as bytes, so a pattern holds neither a query nor an
// empty segment that a normalised path would not have.
void CheckPattern(rule_reader& in, const word& pattern) {
  std::string_view rest = pattern.text;
  bool sound = rest.starts_with('/') &&
               rest.find_first_of("?#%\\") == std::string_view::npos &&
               std::ranges::all_of(rest, [](char c) { return c > 0x20; });
  size_t segments = 0;
  while (sound && !rest.empty()) {
    rest.remove_prefix(1);
    const size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    const bool last = end == rest.size();
    rest.remove_prefix(end);
    const bool star = segment.find('*') != std::string_view::npos;
    sound = (!star || segment == "*" || (segment == "**" && last)) &&
            (!segment.empty() || last) && segment != "." && segment != ".." &&
            ++segments <= kMaxSegments;
  }
  if (!sound) {
    in.Refuse(pattern,
              "a path of up to 32 segments from '/', each a literal, '*' for "
              "any one or a final '**' for any rest, without '?', '%', '\\', "
              "'.' or '..' segments");
  }
}

void ReadMethod(rule_reader& in, route_rule& rule) {
  const auto method = in.Next("the route's method");
  if (!method) {
    return;
  }
  if (std::ranges::find(kMethods, method->text) == kMethods.end()) {
    in.Refuse(*method, "*, GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
              NearestWord(method->text, kMethods));
  }
  rule.method = method->text;
}

route_rule ReadRoute(rule_reader& in) {
  route_rule rule;
  ReadMethod(in, rule);
  if (const auto pattern = in.Next("the route's path")) {
    CheckPattern(in, *pattern);
    rule.pattern = pattern->text;
  }
  in.Literal("->");
  rule.service = in.Name("the service's name");
  int said = 0;
  const auto mark = [&](const word& w, bool idempotent) {
    if (++said == 2) {
      in.Refuse(w, "one of idempotent and non-idempotent");
    }
    rule.idempotent = idempotent;
  };
  const property properties[] = {
      {"idempotent", false, false, [&](const word& w) { mark(w, true); }},
      {"non-idempotent", false, false, [&](const word& w) { mark(w, false); }},
      {"timeout", true, true,
       [&](const word& w) {
         rule.timeout = in.Duration(w, kMinTimeout, kMaxTimeout);
       }},
      {"retries", true, false,
       [&](const word& w) { rule.retries = in.Number(w, 0, kMaxRetries, ""); }},
  };
  in.Properties(properties);
  if (said == 0) {
    in.Missing("idempotent or non-idempotent");
  }
  return rule;
}

limit_rule ReadLimit(rule_reader& in) {
  limit_rule rule;
  in.Literal("team");
  rule.team = in.Name("the team's name");
  const property properties[] = {
      {"rate", true, true,
       [&](const word& w) { rule.rate = in.Number(w, 1, kMaxRate, "/s"); }},
      {"burst", true, true,
       [&](const word& w) { rule.burst = in.Number(w, 1, kMaxRate, ""); }},
  };
  in.Properties(properties);
  return rule;
}

instance_rule ReadInstance(rule_reader& in, instance_rule::action act) {
  instance_rule rule;
  rule.act = act;
  rule.service = in.Name("the service's name");
  rule.instance = in.Name("the instance's id");
  in.Properties({});
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
           rule.serve = in.Duration(w, kMinIsolation, kMaxIsolation);
         }
       }},
  };
  in.Properties(properties);
  return rule;
}

template <typename Rule>
void Keep(std::vector<Rule>& list, Rule rule, int line, std::string asked_by) {
  rule.line = line;
  rule.asked_by = std::move(asked_by);
  list.push_back(std::move(rule));
}

// Reads the one line; a line without words is blank or a free comment.
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
  const word kind = *in.Next("a rule");
  const std::string by = Asker(split.comment);
  using action = instance_rule::action;
  if (kind.text == "service") {
    Keep(out.value.services, ReadService(in), line, by);
  } else if (kind.text == "route") {
    Keep(out.value.routes, ReadRoute(in), line, by);
  } else if (kind.text == "limit") {
    Keep(out.value.limits, ReadLimit(in), line, by);
  } else if (kind.text == "drain") {
    Keep(out.value.instances, ReadInstance(in, action::kDrain), line, by);
  } else if (kind.text == "pin") {
    Keep(out.value.instances, ReadInstance(in, action::kPin), line, by);
  } else if (kind.text == "isolation") {
    if (out.value.isolation.line != 0) {
      in.Refuse(kind, "one isolation line; the first is on line " +
                          std::to_string(out.value.isolation.line));
    }
    out.value.isolation = ReadIsolation(in);
    out.value.isolation.line = line;
    out.value.isolation.asked_by = by;
  } else {
    in.Refuse(kind, std::string(kRuleList), NearestWord(kind.text, kRuleWords));
  }
  if (by.empty()) {
    in.Missing("a comment '# WHO: why' that names who asked for the rule");
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
  CheckRules(result.value, SplitText(text), result.problems);
  std::ranges::stable_sort(result.problems, {}, [](const problem& p) {
    return std::tuple(p.line, p.column);
  });
  return result;
}

}  // namespace peridotarch
