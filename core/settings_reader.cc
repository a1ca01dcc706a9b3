#include "core/settings_reader.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <cstdlib>
#include <utility>

#include "core/error.h"
#include "core/span_text.h"

namespace peridotarch {

namespace po = boost::program_options;

namespace {

constexpr size_t kMaxNameBytes = 63;

std::string VariableOf(std::string_view name) {
  std::string variable = "PERIDOTARCH_";
  for (const char c : name) {
    variable.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  }
  return variable;
}

bool IsName(std::string_view text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

po::options_description ToOptions(const std::vector<setting>& table) {
  po::options_description options;
  for (const setting& entry : table) {
    auto* value = po::value<std::string>();
    if (entry.is_switch) {
      value->zero_tokens()->implicit_value("true");
    }
    options.add_options()(entry.name.c_str(), value, entry.meaning.c_str());
  }
  return options;
}

}  // namespace

settings_reader::settings_reader(std::vector<setting> table, int argc,
                                 const char* const* argv)
    : table_(std::move(table)) {
  ReadFlags(argc, argv);
  ReadEnvironment();
}

// Abbreviated flags are refused: a flag added later would change what they
// mean.
void settings_reader::ReadFlags(int argc, const char* const* argv) {
  const auto options = ToOptions(table_);
  const int style = po::command_line_style::unix_style &
                    ~po::command_line_style::allow_guessing;
  try {
    const auto parsed = po::command_line_parser(argc, argv)
                            .options(options)
                            .style(style)
                            .allow_unregistered()
                            .run();
    words_ = po::collect_unrecognized(parsed.options, po::include_positional);
    for (const auto& option : parsed.options) {
      if (option.unregistered || option.string_key.empty()) {
        continue;
      }
      const std::string text =
          option.value.empty() ? "true" : option.value.front();
      if (!found_.try_emplace(option.string_key, found{text}).second) {
        problems_.push_back("--" + option.string_key +
                            ": given twice; allowed is once");
      }
    }
  } catch (const po::error& failure) {
    problems_.emplace_back(failure.what());
  }
}

void settings_reader::ReadEnvironment() {
  for (const setting& entry : table_) {
    const char* text = std::getenv(VariableOf(entry.name).c_str());
    if (text != nullptr) {
      found_.try_emplace(entry.name, found{text, true});
    }
  }
}

const setting& settings_reader::Described(std::string_view name) const {
  const auto match = [&](const setting& entry) { return entry.name == name; };
  const auto entry = std::find_if(table_.begin(), table_.end(), match);
  if (entry == table_.end()) {
    throw error("no setting is described as " + std::string(name));
  }
  return *entry;
}

std::string settings_reader::Text(std::string_view name) {
  const auto value = found_.find(name);
  if (value != found_.end()) {
    return value->second.text;
  }
  return Described(name).fallback.value_or("");
}

bool settings_reader::Switch(std::string_view name) {
  const std::string text = Text(name);
  if (text == "true" || text == "1") {
    return true;
  }
  if (!text.empty() && text != "false" && text != "0") {
    Reject(name);
  }
  return false;
}

std::string settings_reader::Name(std::string_view name) {
  std::string text = Text(name);
  if (!IsName(text)) {
    Reject(name);
  }
  return text;
}

std::string settings_reader::IpNumber(std::string_view name) {
  std::string text = Text(name);
  if (!IsIpNumber(text)) {
    Reject(name);
  }
  return text;
}

host_port settings_reader::Address(std::string_view name) {
  const std::string text = Text(name);
  if (text.empty() && !found_.contains(name) && Described(name).fallback) {
    return {};
  }
  const auto address = ParseHostPort(text);
  if (!address) {
    Reject(name);
  }
  return address.value_or(host_port{});
}

int64_t settings_reader::Number(std::string_view name, int64_t low,
                                int64_t high) {
  const auto number = ParseNumber(Text(name), low, high);
  if (!number) {
    Reject(name);
  }
  return number.value_or(low);
}

millis settings_reader::Span(std::string_view name, millis low, millis high) {
  const auto span = ParseSpan(Text(name), low, high);
  if (!span) {
    Reject(name);
  }
  return span.value_or(low);
}

void settings_reader::Reject(std::string_view name) {
  const setting& entry = Described(name);
  const auto value = found_.find(name);
  const std::string flag = "--" + entry.name;
  const std::string variable = VariableOf(entry.name);
  if (value == found_.end()) {
    problems_.push_back(flag + " (or " + variable + "): missing; allowed is " +
                        entry.allowed);
    return;
  }
  const std::string source = value->second.from_environment ? variable : flag;
  const std::string shown =
      entry.secret ? "this value" : '"' + value->second.text + '"';
  problems_.push_back(source + ": " + shown + " is not allowed; allowed is " +
                      entry.allowed);
}

void settings_reader::RejectWith(std::string problem) {
  problems_.push_back(std::move(problem));
}

void settings_reader::ThrowIfRejected() const {
  if (problems_.empty()) {
    return;
  }
  std::string text;
  for (const std::string& problem : problems_) {
    text += text.empty() ? problem : '\n' + problem;
  }
  throw settings_error(text);
}

std::string DescribeSettings(const std::vector<setting>& table) {
  std::string text;
  for (const setting& entry : table) {
    text += "  --" + entry.name + (entry.is_switch ? "" : " VALUE") + "  (" +
            VariableOf(entry.name) + ")\n      " + entry.meaning + ": " +
            entry.allowed;
    if (!entry.fallback) {
      text += "; required";
    } else if (!entry.fallback->empty()) {
      text += "; default " + *entry.fallback;
    }
    text += '\n';
  }
  return text;
}

}  // namespace peridotarch
