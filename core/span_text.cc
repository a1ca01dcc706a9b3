#include "core/span_text.h"

#include <algorithm>
#include <array>

#include "core/host_port.h"

namespace peridotarch {

namespace {

struct span_unit {
  std::string_view name;
  millis length;
};

constexpr std::array<span_unit, 4> kUnits = {{{"ms", millis(1)},
                                              {"s", millis(1000)},
                                              {"m", millis(60'000)},
                                              {"h", millis(3'600'000)}}};

}  // namespace

std::optional<millis> ParseSpan(std::string_view text, millis low,
                                millis high) {
  const size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  const auto unit = std::find_if(
      kUnits.begin(), kUnits.end(),
      [&](const span_unit& each) { return each.name == text.substr(digits); });
  if (unit == kUnits.end()) {
    return std::nullopt;
  }
  const auto number = ParseNumber(text.substr(0, digits), 0,
                                  high.count() / unit->length.count());
  if (!number || unit->length * *number < low) {
    return std::nullopt;
  }
  return unit->length * *number;
}

}  // namespace peridotarch
