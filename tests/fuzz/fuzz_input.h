#ifndef TESTS_FUZZ_FUZZ_INPUT_H_
#define TESTS_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace peridotarch {

/// Returns the fuzzer's bytes as text.
inline std::string_view AsText(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Ends the run, so that the fuzzer keeps the input, when a property fails.
inline void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

/// Key of signed inputs.
inline constexpr std::string_view kFuzzKey = "the fleet key of the fuzzers";

}  // namespace peridotarch

#endif  // TESTS_FUZZ_FUZZ_INPUT_H_
