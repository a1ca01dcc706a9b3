#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>
#include <limits>

namespace peridotarch {

/// SplitMix64 generator; its seed is passed in so that decisions can be
/// replayed.
class random_bits {
 public:
  using result_type = uint64_t;

  explicit random_bits(uint64_t seed) : state_(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()();

  /// Returns a number below `bound`, which is above zero.
  uint64_t Below(uint64_t bound);

  /// Returns a number in [0, 1).
  double Unit();

 private:
  uint64_t state_;
};

}  // namespace peridotarch

#endif  // CORE_RANDOM_H_
