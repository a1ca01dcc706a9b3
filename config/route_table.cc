#include "config/route_table.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// The first segment of a path and what follows it.
struct cut_path {
  std::string_view segment;
  std::string_view rest;  // Empty at the end, else from '/'.
};

// `path` starts with '/'.
cut_path Cut(std::string_view path) {
  path.remove_prefix(1);
  const size_t end = std::min(path.find('/'), path.size());
  return {path.substr(0, end), path.substr(end)};
}

const route_rule* ForMethod(const std::vector<const route_rule*>& rules,
                            std::string_view method) {
  const route_rule* any = nullptr;
  for (const route_rule* rule : rules) {
    if (rule->method == method) {
      return rule;
    }
    if (rule->method == "*") {
      any = rule;
    }
  }
  return any;
}

}  // namespace

route_table::route_table(std::span<const route_rule> routes) {
  NewNode();
  for (const route_rule& rule : routes) {
    Add(rule);
  }
}

uint32_t route_table::NewNode() {
  nodes_.emplace_back();
  return static_cast<uint32_t>(nodes_.size() - 1);
}

void route_table::Add(const route_rule& rule) {
  uint32_t at = 0;
  std::string_view rest = rule.pattern;
  while (!rest.empty()) {
    const cut_path cut = Cut(rest);
    if (cut.segment == "**") {
      nodes_[at].any_rest.push_back(&rule);
      return;
    }
    at = Child(at, cut.segment);
    rest = cut.rest;
  }
  nodes_[at].here.push_back(&rule);
}

uint32_t route_table::Child(uint32_t from, std::string_view segment) {
  if (segment == "*") {
    if (nodes_[from].any == kNone) {
      const uint32_t fresh = NewNode();
      nodes_[from].any = fresh;
    }
    return nodes_[from].any;
  }
  const uint32_t known = Literal(nodes_[from], segment);
  if (known != kNone) {
    return known;
  }
  const uint32_t fresh = NewNode();
  auto& literals = nodes_[from].literals;
  const auto place = std::ranges::lower_bound(
      literals, segment, {}, &std::pair<std::string_view, uint32_t>::first);
  literals.insert(place, {segment, fresh});
  return fresh;
}

uint32_t route_table::Literal(const node& from,
                              std::string_view segment) const {
  const auto at =
      std::ranges::lower_bound(from.literals, segment, {},
                               &std::pair<std::string_view, uint32_t>::first);
  return at != from.literals.end() && at->first == segment ? at->second : kNone;
}

const route_rule* route_table::Match(std::string_view method,
                                     std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  if (nodes_.empty() || !path.starts_with('/')) {
    return nullptr;
  }
  return Find(0, method, path);
}

// Goes back to a less specific pattern when the more specific one has no rule
// for the method. The depth is bounded by the longest pattern.
const route_rule* route_table::Find(uint32_t from, std::string_view method,
                                    std::string_view path) const {
  const node& here = nodes_[from];
  if (path.empty()) {
    return ForMethod(here.here, method);
  }
  const cut_path cut = Cut(path);
  const uint32_t literal = Literal(here, cut.segment);
  if (literal != kNone) {
    if (const route_rule* rule = Find(literal, method, cut.rest)) {
      return rule;
    }
  }
  if (here.any != kNone && !cut.segment.empty()) {
    if (const route_rule* rule = Find(here.any, method, cut.rest)) {
      return rule;
    }
  }
  return ForMethod(here.any_rest, method);
}

}  // namespace peridotarch
