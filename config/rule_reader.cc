#include "config/rule_reader.h"

#include <algorithm>
#include <cctype>

namespace peridotarch {

namespace {

constexpr size_t kMaxNameBytes = 128;

bool IsNameByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
         c == ':';
}

bool IsName(std::string_view text) {
  return text.size() <= kMaxNameBytes && std::ranges::all_of(text, IsNameByte);
}

}  // namespace

rule_reader::rule_reader(int line, const split_line& split,
                         std::vector<problem>* problems)
    : line_(line), split_(split), problems_(problems) {}

std::optional<word> rule_reader::ReadWord(std::string_view allowed) {
  if (next_ == split_.words.size()) {
    AddMissing(allowed);
    return std::nullopt;
  }
  return split_.words[next_++];
}

std::string rule_reader::ReadName(std::string_view what) {
  const std::optional<word> found = ReadWord(what);
  if (!found) {
    return {};
  }
  if (!IsName(found->text)) {
    AddProblem(*found, std::string(what) +
                           " of up to 128 letters, digits, '-', '_', '.', ':'");
  }
  return std::string(found->text);
}

// A word in place of the literal may be the next part of the rule, so it is
// consumed only if it looks like a misspelling of the literal.
void rule_reader::ReadLiteral(std::string_view literal) {
  if (next_ == split_.words.size()) {
    AddMissing(literal);
    return;
  }
  const word& found = split_.words[next_];
  if (found.text == literal) {
    ++next_;
    return;
  }
  const std::string_view valid[] = {literal};
  const std::string nearest = NearestWord(found.text, valid);
  AddProblem(found, std::string(literal), nearest);
  next_ += nearest.empty() ? 0 : 1;
}

void rule_reader::ReadProperties(std::span<const property> properties) {
  std::vector<bool> seen(properties.size());
  std::vector<std::string_view> keywords;
  std::string allowed;
  for (const property& p : properties) {
    keywords.push_back(p.keyword);
    allowed += (allowed.empty() ? "" : ", ") + std::string(p.keyword);
  }
  if (properties.empty()) {
    allowed = "the rule's comment";
  }
  while (next_ < split_.words.size()) {
    const word found = split_.words[next_++];
    const auto at = std::ranges::find(keywords, found.text);
    if (at == keywords.end()) {
      AddProblem(found, allowed, NearestWord(found.text, keywords));
      continue;
    }
    const auto index = static_cast<size_t>(at - keywords.begin());
    if (seen[index]) {
      AddProblem(found, "each property once");
    }
    seen[index] = true;
    if (!properties[index].has_value) {
      properties[index].read(found);
    } else if (const auto value =
                   ReadWord("a value for " + std::string(found.text))) {
      properties[index].read(*value);
    }
  }
  for (size_t i = 0; i < properties.size(); ++i) {
    if (properties[i].required && !seen[i]) {
      AddMissing(properties[i].keyword);
    }
  }
}

int rule_reader::ParseBoundedNumber(const word& from, int low, int high,
                                    std::string_view unit) {
  std::string_view digits = from.text;
  if (!unit.empty() && digits.ends_with(unit)) {
    digits.remove_suffix(unit.size());
  } else if (!unit.empty()) {
    digits = "";
  }
  const auto value = digits.empty() ? std::nullopt : ReadNumber(digits);
  if (!value || *value < low || *value > high) {
    AddProblem(from,
               "a whole number from " + std::to_string(low) + " to " +
                   std::to_string(high) +
                   (unit.empty() ? "" : " followed by " + std::string(unit)));
    return low;
  }
  return static_cast<int>(*value);
}

millis rule_reader::ParseBoundedDuration(const word& from, millis low,
                                         millis high) {
  const auto value = ReadDuration(from.text);
  if (!value || *value < low || *value > high) {
    AddProblem(from, "a duration from " + ToText(low) + " to " + ToText(high) +
                         " in ms, s, m or h");
    return low;
  }
  return *value;
}

void rule_reader::AddProblem(const word& at, std::string allowed,
                             std::string nearest) {
  problems_->push_back({line_, at.column, Quote(at.text), std::move(allowed),
                        std::move(nearest)});
}

void rule_reader::AddMissing(std::string_view allowed) {
  problems_->push_back(
      {line_, split_.end_column, "end of line", std::string(allowed), ""});
}

std::string ToText(millis value) {
  const int64_t count = value.count();
  if (count % 3'600'000 == 0 && count != 0) {
    return std::to_string(count / 3'600'000) + "h";
  }
  if (count % 60'000 == 0 && count != 0) {
    return std::to_string(count / 60'000) + "m";
  }
  if (count % 1000 == 0 && count != 0) {
    return std::to_string(count / 1000) + "s";
  }
  return std::to_string(count) + "ms";
}

}  // namespace peridotarch
