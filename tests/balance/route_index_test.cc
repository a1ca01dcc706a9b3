#include "balance/route_index.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "core/random.h"

namespace peridotarch {
namespace {

host_route MakeRoute(const std::string& name, const std::string& host,
                     const std::string& prefix) {
  host_route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

route_index MakeIndex() {
  fleet_config config;
  config.routes = {MakeRoute("root", "a.example", "/"),
                   MakeRoute("box", "a.example", "/box/"),
                   MakeRoute("deep", "a.example", "/box/new/"),
                   MakeRoute("other", "b.example", "/box/")};
  config.services = {{"s", 330}};
  return route_index(config);
}

std::string FindName(const route_index& index, std::string_view host,
                     std::string_view target) {
  const host_route* route = index.Find(host, target);
  return route == nullptr ? "" : route->name;
}

// Each slash cost a copy of the path before it, 17 ms for such a path. A
// sanitizer slows the search for the end of any path.
TEST_CASE("a path of many slashes is looked up as fast as any other") {
  const route_index index = MakeIndex();
  constexpr int kLookups = 200;
  const auto time_lookups = [&index](char filling) {
    const std::string path = '/' + std::string(15 << 10, filling);
    const millis started_at = steady_clock::Now();
    for (int i = 0; i < kLookups; ++i) {
      CHECK(FindName(index, "a.example", path) == "root");
      CHECK(FindName(index, "a.example", "/box/new" + path) == "deep");
    }
    return steady_clock::Now() - started_at;
  };
  const millis plain_time = time_lookups('a');
  const millis slashes_time = time_lookups('/');
  INFO(slashes_time.count() << " ms, others " << plain_time.count() << " ms");
  CHECK(slashes_time < std::max(millis(kLookups), plain_time + plain_time));
}

TEST_CASE("the route with the longest matching prefix of the host is found") {
  const route_index index = MakeIndex();
  CHECK(FindName(index, "a.example", "/box/new/7") == "deep");
  CHECK(FindName(index, "a.example", "/box/new") == "box");
  CHECK(FindName(index, "a.example", "/box") == "root");
  CHECK(FindName(index, "b.example", "/box/7") == "other");
  CHECK(FindName(index, "b.example", "/") == "");
  CHECK(FindName(index, "c.example", "/box/") == "");
}

TEST_CASE("port, case, query and fragment do not matter") {
  const route_index index = MakeIndex();
  CHECK(FindName(index, "A.Example:8080", "/box/7?x=/box/new/") == "box");
  CHECK(FindName(index, "a.example", "/?/box/") == "root");
  CHECK(FindName(index, "a.example", "") == "");
}

TEST_CASE("services are picked in proportion to their weights") {
  host_route route = MakeRoute("split", "a.example", "/");
  route.services = {{"most", 90}, {"some", 10}, {"none", 0}};
  random_bits random(1);
  int some = 0;
  constexpr int kDraws = 100'000;
  for (int i = 0; i < kDraws; ++i) {
    const std::string& service = PickService(route, random.Unit());
    CHECK(service != "none");
    some += service == "some" ? 1 : 0;
  }
  CHECK(some > kDraws * 9 / 100);
  CHECK(some < kDraws * 11 / 100);
}

}  // namespace
}  // namespace peridotarch
