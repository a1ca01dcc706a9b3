#ifndef INNER_JSON_NUMBER_H_
#define INNER_JSON_NUMBER_H_

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/narrow.h"

namespace peridotarch {

/// Returns an integer of a JSON text. Throws codec_error, which names `what`,
/// if the value is no integer or does not fit T.
template <std::integral T>
T IntegerFrom(const nlohmann::json& value, std::string_view what) {
  if (value.is_number_unsigned()) {
    return Narrowed<T>(value.get<uint64_t>(), what);
  }
  if (value.is_number_integer()) {
    return Narrowed<T>(value.get<int64_t>(), what);
  }
  throw codec_error(std::string(what) + " is not an integer in range");
}

/// The same for the field `name` of an object; a missing field throws the
/// library's exception.
template <std::integral T>
T IntegerAt(const nlohmann::json& object, const char* name) {
  return IntegerFrom<T>(object.at(name), name);
}

}  // namespace peridotarch

#endif  // INNER_JSON_NUMBER_H_
