#include "proxy/settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "core/error.h"

namespace peridotarch {
namespace {

using flags = std::map<std::string, std::string>;

flags GoodFlags() {
  return {{"node", "entry-1"},      {"zone", "a"},
          {"address", "127.0.0.1"}, {"port", "8080"},
          {"inner-port", "8081"},   {"log", "127.0.0.1:7000"},
          {"hosts", "[::1]:7001"},  {"fleet-key", "0123456789abcdef"},
          {"threads", "3"}};
}

proxy_settings Read(const flags& given,
                    const std::vector<std::string>& more = {}) {
  std::vector<std::string> words = {"peridotarchd"};
  for (const auto& [name, value] : given) {
    words.push_back("--" + name);
    words.push_back(value);
  }
  words.insert(words.end(), more.begin(), more.end());
  std::vector<const char*> argv;
  for (const std::string& word : words) {
    argv.push_back(word.c_str());
  }
  return ReadProxySettings(static_cast<int>(argv.size()), argv.data());
}

std::string Problems(const flags& given,
                     const std::vector<std::string>& more = {}) {
  try {
    Read(given, more);
  } catch (const settings_error& failure) {
    return failure.what();
  }
  return "";
}

/// Sets an environment variable for the time of a test.
class variable {
 public:
  variable(const char* name, const char* value) : name_(name) {
    setenv(name, value, 1);
  }
  ~variable() { unsetenv(name_); }

 private:
  const char* name_;
};

TEST_CASE("all settings are read from flags") {
  const proxy_settings read = Read(GoodFlags());
  REQUIRE(read.notice.empty());
  REQUIRE(read.node == "entry-1");
  REQUIRE(read.zone == "a");
  REQUIRE(read.address == "127.0.0.1");
  REQUIRE(read.port == 8080);
  REQUIRE(read.inner_port == 8081);
  REQUIRE(read.log_host == "127.0.0.1");
  REQUIRE(read.log_port == 7000);
  REQUIRE(read.hosts_host == "::1");
  REQUIRE(read.hosts_port == 7001);
  REQUIRE(read.fleet_key == "0123456789abcdef");
  REQUIRE(read.threads == 3);
}

TEST_CASE("a variable stands in for a missing flag and a flag goes first") {
  flags given = GoodFlags();
  given.erase("inner-port");
  const variable inner("PERIDOTARCH_INNER_PORT", "9000");
  const variable zone("PERIDOTARCH_ZONE", "b");
  const proxy_settings read = Read(given);
  REQUIRE(read.inner_port == 9000);
  REQUIRE(read.zone == "a");
}

TEST_CASE("every bad value names its setting, itself and what is allowed") {
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"node", ""},
      {"node", "a b"},
      {"node", std::string(64, 'n')},
      {"zone", "a/b"},
      {"address", "localhost"},
      {"address", "1.2.3"},
      {"port", "0"},
      {"port", "65536"},
      {"port", "80x"},
      {"port", "-1"},
      {"inner-port", "8080"},
      {"inner-port", ""},
      {"log", "127.0.0.1"},
      {"log", "127.0.0.1:0"},
      {"log", "::1:7000"},
      {"log", ""},
      {"hosts", "[127.0.0.1]:7000"},
      {"hosts", "platform:1"},
      {"threads", "0"},
      {"threads", "65"},
      {"threads", "two"}};
  for (const auto& [name, value] : bad) {
    flags given = GoodFlags();
    given[name] = value;
    const std::string problems = Problems(given);
    INFO(name << '=' << value << ": " << problems);
    REQUIRE(problems.rfind(
                "--" + name + ": \"" + value + "\" is not allowed; allowed is ",
                0) == 0);
    REQUIRE(problems.find('\n') == std::string::npos);
  }
}

TEST_CASE("a bad variable is named as the variable") {
  flags given = GoodFlags();
  given.erase("threads");
  const variable threads("PERIDOTARCH_THREADS", "many");
  REQUIRE(Problems(given) ==
          "PERIDOTARCH_THREADS: \"many\" is not allowed; allowed is 1 to 64");
}

TEST_CASE("a short fleet key is refused without being shown") {
  flags given = GoodFlags();
  given["fleet-key"] = "secret-15-bytes";
  const std::string problems = Problems(given);
  REQUIRE(problems.rfind("--fleet-key: ", 0) == 0);
  REQUIRE(problems.find("secret") == std::string::npos);
}

TEST_CASE("all problems are told at once") {
  const std::string problems = Problems({{"port", "x"}}, {"extra", "--nod=1"});
  for (const char* name :
       {"--node (or PERIDOTARCH_NODE): missing", "--zone", "--address",
        "--port: \"x\"", "--inner-port", "--log", "--hosts", "--fleet-key",
        "\"extra\"", "\"--nod=1\""}) {
    INFO(name);
    REQUIRE(problems.find(name) != std::string::npos);
  }
}

TEST_CASE("a flag that is given twice or has no value is refused") {
  REQUIRE(Problems(GoodFlags(), {"--port", "1"}).rfind("--port: ", 0) == 0);
  flags given = GoodFlags();
  given.erase("zone");
  REQUIRE_FALSE(Problems(given, {"--zone"}).empty());
}

TEST_CASE("help names every flag and variable; version needs no settings") {
  const std::string help = Read({}, {"--help"}).notice;
  for (const auto& [name, value] : GoodFlags()) {
    REQUIRE(help.find("--" + name + " VALUE") != std::string::npos);
  }
  REQUIRE(help.find("PERIDOTARCH_INNER_PORT") != std::string::npos);
  REQUIRE(Read({}, {"--version"}).notice.rfind("peridotarchd ", 0) == 0);
}

}  // namespace
}  // namespace peridotarch
