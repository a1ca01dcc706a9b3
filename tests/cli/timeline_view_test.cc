#include "cli/timeline_view.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace peridotarch {
namespace {

event Event(int64_t wall, uint32_t counter, const std::string& node,
            event_kind kind = event_kind::kStarted) {
  return {{millis(wall), counter}, node, kind, "subject", "detail"};
}

TEST_CASE("any split of the events over lists merges to the same order") {
  const bool held =
      rc::check([](const std::vector<std::pair<uint8_t, uint8_t>>& times) {
        std::vector<std::vector<event>> lists(3);
        std::map<std::string, std::vector<hybrid_time>> by_node;
        for (const auto& [wall, counter] : times) {
          const auto list = *rc::gen::inRange<size_t>(0, lists.size());
          const std::string node(1, static_cast<char>('a' + wall % 5));
          lists[list].push_back(Event(wall, counter, node));
        }
        const auto merged = MergeEvents(lists);
        std::vector<event> all;
        for (const auto& list : lists) {
          all.insert(all.end(), list.begin(), list.end());
        }
        RC_ASSERT(MergeEvents({all}).size() == merged.size());
        for (size_t i = 1; i < merged.size(); ++i) {
          RC_ASSERT(std::tie(merged[i - 1].at, merged[i - 1].node) <
                    std::tie(merged[i].at, merged[i].node));
        }
        for (const event& each : all) {
          RC_ASSERT(
              std::any_of(merged.begin(), merged.end(), [&](const event& kept) {
                return kept.at == each.at && kept.node == each.node;
              }));
        }
      });
  REQUIRE(held);
}

TEST_CASE("a filter keeps what matches all of its fields") {
  const std::vector<event> events = {
      Event(1, 0, "a"), Event(2, 0, "b"),
      Event(3, 0, "b", event_kind::kInstanceEjected)};
  REQUIRE(Filtered(events, {}).size() == 3);
  REQUIRE(Filtered(events, {.node = "b"}).size() == 2);
  REQUIRE(Filtered(events, {.kind = event_kind::kInstanceEjected}).size() == 1);
  REQUIRE(
      Filtered(events, {.kind = event_kind::kStarted, .node = "b"}).size() ==
      1);
  REQUIRE(Filtered(events, {.subject = "bje"}).size() == 3);
  REQUIRE(Filtered(events, {.subject = "other"}).empty());
}

TEST_CASE("the text has one line an event with its time in UTC") {
  REQUIRE(ToUtc(millis(1'700'000'000'042)) == "2023-11-14T22:13:20.042Z");
  const std::string text = ToText({Event(1'700'000'000'042, 7, "entry-1")});
  REQUIRE(text.rfind("2023-11-14T22:13:20.042Z+7", 0) == 0);
  REQUIRE(text.find("entry-1") != std::string::npos);
  REQUIRE(std::count(text.begin(), text.end(), '\n') == 1);
}

size_t Occurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("the picture has a mark for each event and escapes its words") {
  std::vector<event> events = {Event(1000, 0, "a"), Event(2000, 0, "b"),
                               Event(3000, 0, "a")};
  events[1].detail = "<script> & \"quotes\"\x01";
  const std::string svg = ToSvg(events);
  REQUIRE(Occurrences(svg, "<title>") == events.size());
  REQUIRE(svg.find("<script>") == std::string::npos);
  REQUIRE(svg.find("&lt;script&gt; &amp; &quot;quotes&quot;") !=
          std::string::npos);
  REQUIRE(svg.find('\x01') == std::string::npos);
  REQUIRE(svg.rfind("</svg>\n") == svg.size() - 7);
  REQUIRE(ToSvg({}).rfind("<svg", 0) == 0);
}

}  // namespace
}  // namespace peridotarch
