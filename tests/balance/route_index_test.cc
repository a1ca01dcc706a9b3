#include "balance/route_index.h"

#include <catch2/catch.hpp>

#include "core/random.h"

namespace peridotarch {
namespace {

host_route Route(const std::string& name, const std::string& host,
                 const std::string& prefix) {
  host_route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

route_index Index() {
  fleet_config config;
  config.routes = {Route("root", "a.example", "/"),
                   Route("box", "a.example", "/box/"),
                   Route("deep", "a.example", "/box/new/"),
                   Route("other", "b.example", "/box/")};
  config.services = {{"s", 330}};
  return route_index(config);
}

std::string Found(const route_index& index, std::string_view host,
                  std::string_view target) {
  const host_route* route = index.Find(host, target);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("the longest prefix of the host wins") {
  const route_index index = Index();
  CHECK(Found(index, "a.example", "/box/new/7") == "deep");
  CHECK(Found(index, "a.example", "/box/new") == "box");
  CHECK(Found(index, "a.example", "/box") == "root");
  CHECK(Found(index, "b.example", "/box/7") == "other");
  CHECK(Found(index, "b.example", "/") == "");
  CHECK(Found(index, "c.example", "/box/") == "");
}

TEST_CASE("port, case, query and fragment do not matter") {
  const route_index index = Index();
  CHECK(Found(index, "A.Example:8080", "/box/7?x=/box/new/") == "box");
  CHECK(Found(index, "a.example", "/?/box/") == "root");
  CHECK(Found(index, "a.example", "") == "");
}

TEST_CASE("a split follows its weights") {
  host_route route = Route("split", "a.example", "/");
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
