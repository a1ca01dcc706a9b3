#ifndef CORE_SPAN_TEXT_H_
#define CORE_SPAN_TEXT_H_

#include <optional>
#include <string_view>

#include "core/millis.h"

namespace peridotarch {

/// Reads a span like "800ms", "2s", "15m" or "2h" within [low, high]; nothing
/// if malformed or outside.
std::optional<millis> ParseSpan(std::string_view text, millis low, millis high);

}  // namespace peridotarch

#endif  // CORE_SPAN_TEXT_H_
