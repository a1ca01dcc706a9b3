#include "cli/command.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "cli/settings.h"
#include "core/exit_code.h"

namespace peridotarch {
namespace {

struct outcome_of_run {
  int code = 0;
  std::string out;
  std::string err;
};

outcome_of_run Run(std::vector<std::string> words) {
  words.insert(words.begin(), "peridotarch");
  std::vector<const char*> argv;
  for (const std::string& word : words) {
    argv.push_back(word.c_str());
  }
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCli(static_cast<int>(argv.size()), argv.data(), out, err);
  return {code, out.str(), err.str()};
}

TEST_CASE("an unknown command gets a hint") {
  const auto run = Run({"statsu"});
  REQUIRE(run.code == ToInt(exit_code::kBadSettings));
  REQUIRE(run.err.find("did you mean status?") != std::string::npos);
}

TEST_CASE("every command has a help text that says its exit codes") {
  for (const command& each : Commands()) {
    const auto run = Run({std::string(each.name), "--help"});
    INFO(each.name);
    REQUIRE(run.code == 0);
    REQUIRE(run.out.rfind("Usage: peridotarch " + std::string(each.name), 0) ==
            0);
    REQUIRE(run.out.find("xit code") != std::string::npos);
  }
  const auto all = Run({"--help"});
  REQUIRE(all.code == 0);
  for (const command& each : Commands()) {
    REQUIRE(all.out.find("\n  " + std::string(each.name) + ' ') !=
            std::string::npos);
  }
}

TEST_CASE("no command prints the help as an error") {
  const auto run = Run({});
  REQUIRE(run.code == ToInt(exit_code::kBadSettings));
  REQUIRE(run.err.rfind("Usage:", 0) == 0);
}

TEST_CASE("bad settings are told at once, with what is allowed") {
  const auto run =
      Run({"status", "--log", "nowhere", "--hosts", "1.2.3.4", "--fleet-key",
           "short", "--timeout", "1h", "--author", "a b"});
  REQUIRE(run.code == ToInt(exit_code::kBadSettings));
  for (const char* part :
       {"--log: \"nowhere\" is not allowed; allowed is ",
        "--hosts: ", "--fleet-key: this value is not allowed; allowed is 16",
        "--timeout: \"1h\"", "--author: \"a b\""}) {
    INFO(part << " in " << run.err);
    REQUIRE(run.err.find(part) != std::string::npos);
  }
  REQUIRE(run.err.find("short") == std::string::npos);
}

TEST_CASE("a command that asks the fleet names the settings it lacks") {
  for (const char* name : {"status", "timeline"}) {
    const auto run = Run({name});
    REQUIRE(run.code == ToInt(exit_code::kBadSettings));
    REQUIRE(run.err.find("--hosts (or PERIDOTARCH_HOSTS): missing") !=
            std::string::npos);
    REQUIRE(run.err.find("--fleet-key") != std::string::npos);
  }
}

TEST_CASE("a command refuses words and flags that it does not know") {
  for (const auto& extra : std::vector<std::vector<std::string>>{
           {"status", "more"},
           {"status", "--verbose"},
           {"timeline", "--since", "soon"},
           {"timeline", "--kind", "sleepy"},
           {"timeline", "--since", "1s", "--since", "2s"},
           {"timeline", "--since"}}) {
    const auto run = Run(extra);
    INFO(extra.back() << ": " << run.err);
    REQUIRE(run.code == ToInt(exit_code::kBadSettings));
    REQUIRE(run.err.find("llowed") != std::string::npos);
    REQUIRE(run.err.find("--hosts (or") == std::string::npos);
  }
}

TEST_CASE("a host list that does not answer is unreachable") {
  const auto run = Run({"status", "--hosts", "127.0.0.1:1", "--fleet-key",
                        "0123456789abcdef", "--timeout", "500ms"});
  REQUIRE(run.code == ToInt(exit_code::kUnreachable));
  REQUIRE_FALSE(run.err.empty());
}

TEST_CASE("a command's own flags pass by the common settings") {
  const std::vector<const char*> argv = {"peridotarch", "--json", "publish",
                                         "FILE",        "--base", "5",
                                         "--author",    "ana"};
  const auto read = ReadCliSettings(static_cast<int>(argv.size()), argv.data());
  REQUIRE(read.command == "publish");
  REQUIRE(read.args == std::vector<std::string>{"FILE", "--base", "5"});
  REQUIRE(read.settings.json);
  REQUIRE(read.settings.author == "ana");
  REQUIRE(read.settings.timeout == millis(10'000));
}

}  // namespace
}  // namespace peridotarch
