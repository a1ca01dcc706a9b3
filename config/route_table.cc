#include "config/route_table.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// The first segment of a path and what follows it.
struct split_path {
  std::string_view segment;
  std::string_view rest;  // Empty or begins with '/'.
};

// `path` starts with '/'.
split_path SplitFirstSegment(std::string_view path) {
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
    const split_path parts = SplitFirstSegment(rest);
    if (parts.segment == "**") {
      nodes_[at].rest_rules.push_back(&rule);
      return;
    }
    at = ChildFor(at, parts.segment);
    rest = parts.rest;
  }
  nodes_[at].end_rules.push_back(&rule);
}

uint32_t route_table::ChildFor(uint32_t from, std::string_view segment) {
  if (segment == "*") {
    if (nodes_[from].star_child == kNone) {
      const uint32_t child = NewNode();
      nodes_[from].star_child = child;
    }
    return nodes_[from].star_child;
  }
  const uint32_t existing = FindLiteral(nodes_[from], segment);
  if (existing != kNone) {
    return existing;
  }
  const uint32_t child = NewNode();
  auto& literal_children = nodes_[from].literal_children;
  const auto position =
      std::ranges::lower_bound(literal_children, segment, {},
                               &std::pair<std::string_view, uint32_t>::first);
  literal_children.insert(position, {segment, child});
  return child;
}

uint32_t route_table::FindLiteral(const node& from,
                                  std::string_view segment) const {
  const auto at =
      std::ranges::lower_bound(from.literal_children, segment, {},
                               &std::pair<std::string_view, uint32_t>::first);
  return at != from.literal_children.end() && at->first == segment ? at->second
                                                                   : kNone;
}

const route_rule* route_table::Match(std::string_view method,
                                     std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  if (nodes_.empty() || !path.starts_with('/')) {
    return nullptr;
  }
  return Find(0, method, path);
}

// Falls back to a less specific pattern if the more specific one has no rule
// for the method. The depth of the recursion is bounded by the longest pattern.
const route_rule* route_table::Find(uint32_t from, std::string_view method,
                                    std::string_view path) const {
  const node& here = nodes_[from];
  if (path.empty()) {
    return ForMethod(here.end_rules, method);
  }
  const split_path parts = SplitFirstSegment(path);
  const uint32_t literal = FindLiteral(here, parts.segment);
  if (literal != kNone) {
    if (const route_rule* rule = Find(literal, method, parts.rest)) {
      return rule;
    }
  }
  if (here.star_child != kNone && !parts.segment.empty()) {
    if (const route_rule* rule = Find(here.star_child, method, parts.rest)) {
      return rule;
    }
  }
  return ForMethod(here.rest_rules, method);
}

}  // namespace peridotarch
