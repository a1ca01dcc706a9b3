#include "teams/team_directory.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

namespace peridotarch {
namespace {

team MakeTeam(const std::string& name, const std::vector<std::string>& keys) {
  team one;
  one.name = name;
  for (const std::string& key : keys) {
    one.keys.push_back(Sha256(key));
  }
  return one;
}

TEST_CASE("a team is found by each of its keys and by no other text") {
  const std::optional<std::vector<team>> teams = {
      {MakeTeam("red", {"k1", "k2"}), MakeTeam("blue", {"k3"}),
       MakeTeam("withdrawn", {})}};
  const team_directory directory(teams);
  REQUIRE(directory.FindByKey("k2") != nullptr);
  CHECK(directory.FindByKey("k2")->name == "red");
  CHECK(directory.FindByKey("k3")->name == "blue");
  for (const std::string wrong : {"", "k", "k33", "K3", "red"}) {
    CHECK(directory.FindByKey(wrong) == nullptr);
  }
  CHECK(directory.requires_keys());
}

// With the last team gone, requests with any key ran (review/9).
TEST_CASE("an empty list of teams requires keys and knows none") {
  const std::optional<std::vector<team>> no_list;
  CHECK_FALSE(team_directory(no_list).requires_keys());
  const std::optional<std::vector<team>> empty_list(std::in_place);
  const team_directory directory(empty_list);
  CHECK(directory.requires_keys());
  CHECK(directory.FindByKey("k1") == nullptr);
}

}  // namespace
}  // namespace peridotarch
