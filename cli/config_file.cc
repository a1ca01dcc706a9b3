#include "cli/config_file.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "config/parse.h"
#include "config/words.h"
#include "core/error.h"

namespace peridotarch {

namespace {

constexpr std::string_view kBasePrefix = "# base ";

std::string ProblemsAsJson(const std::vector<problem>& problems, int shift) {
  nlohmann::json list = nlohmann::json::array();
  for (const problem& p : problems) {
    list.push_back({{"line", p.line + shift},
                    {"column", p.column},
                    {"found", p.found},
                    {"allowed", p.allowed},
                    {"nearest", p.nearest}});
  }
  return nlohmann::json{{"problems", list}}.dump(
      2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string BaseLine(uint64_t number) {
  return std::string(kBasePrefix) + std::to_string(number) + "\n";
}

// The line is taken off before publishing, so that it is no difference between
// two operators' texts.
config_file SplitBaseLine(std::string text) {
  config_file file;
  if (text.starts_with(kBasePrefix)) {
    const size_t end = std::min(text.find('\n'), text.size());
    std::string_view number(text);
    number = number.substr(kBasePrefix.size(), end - kBasePrefix.size());
    if (number.ends_with('\r')) {
      number.remove_suffix(1);
    }
    if (const auto base = ReadNumber(number)) {
      file.base = static_cast<uint64_t>(*base);
      text.erase(0, std::min(end + 1, text.size()));
    }
  }
  file.text = std::move(text);
  return file;
}

config_file ReadConfigFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    throw settings_error("\"" + path +
                         "\": cannot be read or is empty; allowed is a rules "
                         "file");
  }
  return SplitBaseLine(text.str());
}

bool ReportProblems(const std::string& path, const config_file& file, bool json,
                    std::ostream& out) {
  const std::vector<problem> problems = ParseRules(file.text).problems;
  const int shift = file.base ? 1 : 0;
  if (json) {
    out << ProblemsAsJson(problems, shift) << '\n';
    return problems.empty();
  }
  for (problem p : problems) {
    p.line += shift;
    out << path << ':' << ToText(p) << '\n';
  }
  return problems.empty();
}

}  // namespace peridotarch
