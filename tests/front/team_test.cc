// Callers that identify themselves by the keys of their teams.
#include <catch2/catch.hpp>

#include "front_world.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

/// A node with teams "red" and "blue" and an instance that keeps its requests.
struct team_world {
  team_world() {
    world.AddTeam("red", "red-key");
    world.AddTeam("blue", "blue-key", 0);
    world.AddRoute("/box/", false);
    world.AddOpenRoute("/open/");
    world.AddInstance([this](const http_request& request) {
      seen.push_back(request);
      return SoundAnswer(request);
    });
  }
  int StatusOf(const std::string& target,
               std::vector<front_world::header> headers) {
    world.caller_headers = std::move(headers);
    return static_cast<int>(world.SendRequest(verb::post, target).result_int());
  }

  front_world world;
  std::vector<http_request> seen;
};

TEST_CASE("keys: a request without the key of a team is refused with 401") {
  team_world teams;
  CHECK(teams.StatusOf("/box/1", {}) == 401);
  CHECK(teams.StatusOf("/box/1", {{"X-Api-Key", ""}}) == 401);
  CHECK(teams.StatusOf("/box/1", {{"X-Api-Key", "red-ke"}}) == 401);
  CHECK(teams.StatusOf("/box/1", {{"X-Api-Key", "red-key"},
                                  {"X-Api-Key", "red-key"}}) == 401);
  CHECK(teams.seen.empty());
}

TEST_CASE("keys: the instance gets the team's name and never the key") {
  team_world teams;
  CHECK(teams.StatusOf(
            "/box/1", {{"X-Api-Key", "red-key"}, {"X-Tenant", "blue"}}) == 200);
  // A caller may not have the name removed as a header of its connection.
  CHECK(teams.StatusOf("/box/1", {{"X-Api-Key", "red-key"},
                                  {"Connection", "X-Tenant, X-Api-Key"}}) ==
        200);
  REQUIRE(teams.seen.size() == 2);
  for (const http_request& request : teams.seen) {
    CHECK(request.count("X-Tenant") == 1);
    CHECK(request["X-Tenant"] == "red");
    CHECK(request.count("X-Api-Key") == 0);
  }
}

// With an empty list of teams the check of keys was off, and instances got the
// keys and the team that callers named (review/9).
TEST_CASE("keys: with an empty list of teams no key is valid") {
  front_world world;
  std::vector<http_request> seen;
  world.AddRoute("/box/", false);
  world.AddOpenRoute("/open/");
  world.AddInstance([&seen](const http_request& request) {
    seen.push_back(request);
    return SoundAnswer(request);
  });
  world.RequireKeys();
  const std::vector<front_world::header> forged = {{"X-Api-Key", "red-key"},
                                                   {"X-Tenant", "blue"}};
  world.caller_headers = forged;
  CHECK(world.SendRequest(verb::post, "/box/1").result_int() == 401);
  world.caller_headers = {};
  CHECK(world.SendRequest(verb::post, "/box/1").result_int() == 401);
  CHECK(seen.empty());
  world.caller_headers = forged;
  CHECK(world.SendRequest(verb::post, "/open/1").result_int() == 200);
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].count("X-Tenant") == 0);
  CHECK(seen[0].count("X-Api-Key") == 0);
}

TEST_CASE("keys: an open route needs none, and a caller can't name a team") {
  team_world teams;
  CHECK(teams.StatusOf("/open/1", {{"X-Tenant", "blue"}}) == 200);
  CHECK(teams.StatusOf("/open/1", {{"X-Api-Key", "none"}}) == 200);
  CHECK(teams.StatusOf("/open/1", {{"X-Api-Key", "blue-key"}}) == 200);
  REQUIRE(teams.seen.size() == 3);
  CHECK(teams.seen[0].count("X-Tenant") == 0);
  CHECK(teams.seen[1].count("X-Tenant") == 0);
  CHECK(teams.seen[2]["X-Tenant"] == "blue");
  CHECK(teams.seen[1].count("X-Api-Key") == 0);
}

TEST_CASE("keys: without teams the caller's headers go on unchanged") {
  front_world world;
  world.AddRoute("/box/", false);
  http_request seen;
  world.AddInstance([&seen](const http_request& request) {
    seen = request;
    return SoundAnswer(request);
  });
  world.caller_headers = {{"X-Api-Key", "key"}, {"X-Tenant", "blue"}};
  CHECK(world.SendRequest(verb::post, "/box/1").result_int() == 200);
  CHECK(seen["X-Api-Key"] == "key");
  CHECK(seen["X-Tenant"] == "blue");
}

}  // namespace
}  // namespace peridotarch
