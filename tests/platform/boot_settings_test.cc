#include "platform/boot_settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "core/error.h"

namespace peridotarch {
namespace {

class settings_file {
 public:
  explicit settings_file(const std::string& text)
      : path_("boot_settings_test." + std::to_string(::getpid())) {
    std::ofstream(path_) << text;
  }
  ~settings_file() { std::remove(path_.c_str()); }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

const std::string kGood =
    "# comment\nnode=edge-1\nzone=a\ncallers=10.0.0.1:80\nready=10.0.0.1:81\n"
    "store=10.0.0.2:82\ncontrol=10.0.0.1:83\nseeds=10.0.0.3:83,10.0.0.4:"
    "83\ninner-ports=7660,7675\nmetrics-port=9464\n"
    "fleet-key=k\n"
    "bounds={\"grace_s\":6,\"retry_budget_ratio\":0.2,"
    "\"retry_budget_slack\":58,\"retry_window_s\":10,\"new_one\":true}\n"
    "new-line=x\n";

std::string WithBounds(const std::string& bounds) {
  std::string text = kGood;
  const size_t begin = text.find("bounds=") + std::string("bounds=").size();
  return text.replace(begin, text.find('\n', begin) - begin, bounds);
}

std::string ErrorOf(const std::string& text) {
  const settings_file file(text);
  try {
    ReadBootSettings(file.path());
  } catch (const settings_error& bad) {
    return bad.what();
  }
  return "";
}

TEST_CASE("the first start of the fleet is told by the settings") {
  CHECK_FALSE(ReadBootSettings(settings_file(kGood).path()).is_first_start);
  for (const bool first : {true, false}) {
    const settings_file file(kGood + "bootstrap=" + (first ? "true" : "false") +
                             "\n");
    CHECK(ReadBootSettings(file.path()).is_first_start == first);
  }
  CHECK(ErrorOf(kGood + "bootstrap=yes\n").find("bootstrap") !=
        std::string::npos);
}

TEST_CASE("settings of the platform are read, unknown ones are ignored") {
  const settings_file file(kGood);
  const node_settings settings = ReadBootSettings(file.path());
  CHECK(settings.node == "edge-1");
  CHECK(settings.callers == host_port{"10.0.0.1", 80});
  CHECK(settings.peer_port == 7660);
  REQUIRE(settings.seeds.size() == 2);
  CHECK(settings.seeds[1] == host_port{"10.0.0.4", 83});
  CHECK(settings.shutdown_grace == millis(6'000));
  CHECK(settings.retries.slack == 58);
  CHECK(settings.retries.ratio == 0.2);
}

TEST_CASE("bounds are a JSON object or pairs, and nothing else") {
  for (const std::string bounds : {"{\"retry_budget_slack\": 7, \"grace_s\":6}",
                                   "retry_budget_slack=7,grace_s=6"}) {
    const settings_file file(WithBounds(bounds));
    const node_settings settings = ReadBootSettings(file.path());
    CHECK(settings.retries.slack == 7);
    CHECK(settings.shutdown_grace == millis(6'000));
  }
  for (const std::string bounds :
       {"{\"grace_s\":6", "[\"grace_s=6\"]", "{\"grace_s\":\"6\"}", "grace_s:6",
        "grace_s=6,,retry"}) {
    CAPTURE(bounds);
    CHECK_FALSE(ErrorOf(WithBounds(bounds)).empty());
  }
}

TEST_CASE("the memory for answers is a setting, else a part of the machine's") {
  constexpr uint64_t kMegabyte = 1 << 20;
  const uint64_t usual =
      ReadBootSettings(settings_file(kGood).path()).answer_bytes;
  CHECK(usual >= 4 * kMegabyte);
  CHECK(usual <= 32 * kMegabyte);
  const settings_file file(kGood + "answer-memory-mb=20\n");
  CHECK(ReadBootSettings(file.path()).answer_bytes == 20 * kMegabyte);
  for (const std::string bad : {"0", "-1", "1.5", "many", "1048577"}) {
    CHECK(ErrorOf(kGood + "answer-memory-mb=" + bad + "\n")
              .find("setting answer-memory-mb") == 0);
  }
}

// The store's record of the node had the length of the name cut to a byte.
TEST_CASE("a node's name has at most 255 bytes") {
  const std::string longest(255, 'x');
  CHECK(ErrorOf("node=" + longest + "\n").find("setting zone") == 0);
  CHECK(ErrorOf("node=" + longest + "x\n").find("setting node") == 0);
}

TEST_CASE("a bad setting is named with what is allowed") {
  std::string bad = kGood;
  bad.replace(bad.find("10.0.0.1:80"), 11, "10.0.0.1:xx");
  CHECK(ErrorOf(bad) ==
        "setting callers: \"10.0.0.1:xx\" is not allowed; allowed: IP:PORT");
  CHECK(ErrorOf(WithBounds("grace_s=-")).find("setting grace_s") == 0);
  CHECK(ErrorOf(WithBounds("{\"grace_s\":-1}")).find("setting grace_s") == 0);
  // A time that 64 bits don't hold was taken for another one.
  CHECK(ErrorOf(WithBounds("grace_s=1e300")).find("setting grace_s") == 0);
  CHECK(ErrorOf(WithBounds("retry_window_s=1e16")).find("setting retry_") == 0);
  CHECK(ErrorOf("node=x\n").find("setting zone") == 0);
  CHECK_THROWS_AS(ReadBootSettings("missing-file"), settings_error);
}

}  // namespace
}  // namespace peridotarch
