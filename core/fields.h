#ifndef CORE_FIELDS_H_
#define CORE_FIELDS_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace peridotarch {

/// Appends a number to a message in big-endian order.
template <std::unsigned_integral T>
void PutField(std::string& out, T value) {
  constexpr int kByteBits = 8;
  for (int shift = (sizeof(T) - 1) * kByteBits; shift >= 0;
       shift -= kByteBits) {
    out.push_back(static_cast<char>(value >> shift));
  }
}

/// Reads the fields of a message in order. Throws codec_error if the text ends
/// within a field.
class field_reader {
 public:
  explicit field_reader(std::string_view text) : rest_(text) {}

  /// Returns the next number.
  template <std::unsigned_integral T>
  T Take() {
    constexpr int kByteBits = 8;
    uint64_t value = 0;
    for (const char byte : TakeBytes(sizeof(T))) {
      value = value << kByteBits | static_cast<uint8_t>(byte);
    }
    return static_cast<T>(value);
  }

  /// Returns the next `count` bytes.
  std::string_view TakeBytes(size_t count) {
    if (rest_.size() < count) {
      throw codec_error("message is cut short");
    }
    const std::string_view bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
  }

  [[nodiscard]] bool empty() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

}  // namespace peridotarch

#endif  // CORE_FIELDS_H_
