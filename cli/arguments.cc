#include "cli/arguments.h"

#include <boost/program_options.hpp>

#include "core/error.h"
#include "core/host_port.h"
#include "core/span_text.h"

namespace peridotarch {

namespace po = boost::program_options;

namespace {

constexpr millis kMaxSpan(7LL * 24 * 3'600'000);

std::string Listed(const std::vector<std::string>& flags, size_t max_words) {
  std::string text = std::to_string(max_words) + " words";
  for (const std::string& flag : flags) {
    text += ", --" + flag + " VALUE";
  }
  return text;
}

[[noreturn]] void Reject(const std::string& name, const std::string& value,
                         const std::string& allowed) {
  throw settings_error("--" + name + ": \"" + value +
                       "\" is not allowed; allowed is " + allowed);
}

}  // namespace

arguments::arguments(const std::vector<std::string>& args,
                     const std::vector<std::string>& flags, size_t max_words) {
  po::options_description options;
  for (const std::string& flag : flags) {
    options.add_options()(flag.c_str(), po::value<std::string>(), "");
  }
  const int style = po::command_line_style::unix_style &
                    ~po::command_line_style::allow_guessing;
  try {
    const auto parsed =
        po::command_line_parser(args).options(options).style(style).run();
    for (const auto& option : parsed.options) {
      if (option.position_key >= 0) {
        words_.push_back(option.value.front());
      } else if (!values_.emplace(option.string_key, option.value.front())
                      .second) {
        throw settings_error("--" + option.string_key +
                             ": given twice; allowed is once");
      }
    }
  } catch (const po::error& failure) {
    throw settings_error(std::string(failure.what()) + "; allowed are " +
                         Listed(flags, max_words));
  }
  if (words_.size() > max_words) {
    throw settings_error('"' + words_[max_words] +
                         "\": one word too many; allowed are " +
                         Listed(flags, max_words));
  }
}

std::optional<std::string> arguments::Text(const std::string& name) const {
  const auto value = values_.find(name);
  return value == values_.end() ? std::nullopt
                                : std::optional<std::string>(value->second);
}

int64_t arguments::Number(const std::string& name, int64_t low, int64_t high,
                          int64_t fallback) const {
  const auto text = Text(name);
  if (!text) {
    return fallback;
  }
  const auto number = ParseNumber(*text, low, high);
  if (!number) {
    Reject(name, *text, std::to_string(low) + " to " + std::to_string(high));
  }
  return *number;
}

std::optional<millis> arguments::Span(const std::string& name) const {
  const auto text = Text(name);
  if (!text) {
    return std::nullopt;
  }
  const auto span = ParseSpan(*text, millis(0), kMaxSpan);
  if (!span) {
    Reject(name, *text, "a span up to 7 days, such as 90s, 15m or 2h");
  }
  return span;
}

}  // namespace peridotarch
