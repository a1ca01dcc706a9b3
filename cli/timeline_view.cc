#include "cli/timeline_view.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <tuple>

namespace peridotarch {

namespace {

constexpr int kNodeColumn = 20;
constexpr int kKindColumn = 20;
constexpr int kSubjectColumn = 28;

auto SortKey(const event& of) {
  return std::tie(of.at, of.node, of.kind, of.subject, of.detail);
}

}  // namespace

std::vector<event> MergeEvents(const std::vector<std::vector<event>>& lists) {
  std::vector<event> merged;
  for (const std::vector<event>& list : lists) {
    merged.insert(merged.end(), list.begin(), list.end());
  }
  std::sort(merged.begin(), merged.end(),
            [](const event& left, const event& right) {
              return SortKey(left) < SortKey(right);
            });
  const auto repeats = std::unique(merged.begin(), merged.end(),
                                   [](const event& left, const event& right) {
                                     return SortKey(left) == SortKey(right);
                                   });
  merged.erase(repeats, merged.end());
  return merged;
}

std::vector<event> Filtered(const std::vector<event>& events,
                            const event_filter& filter) {
  std::vector<event> kept;
  std::copy_if(events.begin(), events.end(), std::back_inserter(kept),
               [&](const event& each) {
                 const bool kind = !filter.kind || *filter.kind == each.kind;
                 const bool node =
                     filter.node.empty() || filter.node == each.node;
                 return kind && node &&
                        each.subject.find(filter.subject) != std::string::npos;
               });
  return kept;
}

std::string ToUtc(millis wall) {
  constexpr int64_t kSecond = 1000;
  const std::time_t seconds = wall.count() / kSecond;
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &fields);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(wall.count() % kSecond));
  return std::string(text.data()) + fraction.data();
}

std::string ToText(const std::vector<event>& events) {
  std::ostringstream out;
  out << std::left;
  for (const event& each : events) {
    out << ToUtc(each.at.wall) << '+' << std::setw(4) << each.at.counter << ' '
        << std::setw(kNodeColumn) << each.node << ' ' << std::setw(kKindColumn)
        << ToName(each.kind) << ' ' << std::setw(kSubjectColumn) << each.subject
        << ' ' << each.detail << '\n';
  }
  return out.str();
}

}  // namespace peridotarch
