#ifndef CORE_NAMES_H_
#define CORE_NAMES_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace peridotarch {

/// Specialised for each enum with a table of names: `static constexpr
/// std::array<std::string_view, N> kTable`, indexed by the enumerator's value,
/// which starts at zero without gaps.
template <typename Enum>
struct names_of;

/// Returns the name of an enumerator.
template <typename Enum>
constexpr std::string_view ToName(Enum value) {
  return names_of<Enum>::kTable[static_cast<size_t>(value)];
}

/// Returns the enumerator with that name, or nothing.
template <typename Enum>
constexpr std::optional<Enum> FromName(std::string_view name) {
  for (size_t i = 0; i < names_of<Enum>::kTable.size(); ++i) {
    if (names_of<Enum>::kTable[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

}  // namespace peridotarch

#endif  // CORE_NAMES_H_
