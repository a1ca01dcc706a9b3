#ifndef CORE_NARROW_H_
#define CORE_NARROW_H_

#include <concepts>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "core/error.h"

namespace peridotarch {

/// Returns a number from outside as a To. Throws codec_error, which names
/// `what`, if it does not fit.
template <std::integral To, std::integral From>
constexpr To Narrowed(From value, std::string_view what) {
  if (!std::in_range<To>(value)) {
    throw codec_error(std::string(what) + " is not an integer in range");
  }
  return static_cast<To>(value);
}

/// Returns a number from outside as a To, or the nearest To if it does not fit;
/// 0 if it is not a number.
template <std::integral To, std::integral From>
constexpr To Clamped(From value) {
  if (std::cmp_less(value, std::numeric_limits<To>::min())) {
    return std::numeric_limits<To>::min();
  }
  if (std::cmp_greater(value, std::numeric_limits<To>::max())) {
    return std::numeric_limits<To>::max();
  }
  return static_cast<To>(value);
}

// A cast of a number that does not fit is undefined, and differs between
// processors. The largest To as a From is a power of two if it is rounded.
template <std::integral To, std::floating_point From>
constexpr To Clamped(From value) {
  constexpr auto kMin = static_cast<From>(std::numeric_limits<To>::min());
  constexpr auto kMax = static_cast<From>(std::numeric_limits<To>::max());
  if (value >= kMax) {
    return std::numeric_limits<To>::max();
  }
  if (value <= kMin) {
    return std::numeric_limits<To>::min();
  }
  return value == value ? static_cast<To>(value) : 0;
}

}  // namespace peridotarch

#endif  // CORE_NARROW_H_
