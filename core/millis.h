#ifndef CORE_MILLIS_H_
#define CORE_MILLIS_H_

#include <compare>
#include <concepts>
#include <cstdint>

namespace peridotarch {

/// A time in milliseconds: an instant of some clock, or a span between two
/// instants. Sums, differences and products that 64 bits don't hold become the
/// nearest time that they hold, since some times come from other processes.
class millis {
 public:
  constexpr millis() = default;
  constexpr explicit millis(int64_t count) : count_(count) {}

  /// Returns the number of milliseconds.
  [[nodiscard]] constexpr int64_t count() const { return count_; }

  constexpr auto operator<=>(const millis&) const = default;
  constexpr millis operator+(millis other) const {
    int64_t sum = 0;
    return __builtin_add_overflow(count_, other.count_, &sum)
               ? Bound(count_ < 0)
               : millis(sum);
  }
  constexpr millis operator-(millis other) const {
    int64_t difference = 0;
    return __builtin_sub_overflow(count_, other.count_, &difference)
               ? Bound(count_ < 0)
               : millis(difference);
  }
  constexpr millis operator*(int64_t factor) const {
    int64_t product = 0;
    return __builtin_mul_overflow(count_, factor, &product)
               ? Bound((count_ < 0) != (factor < 0))
               : millis(product);
  }
  constexpr millis operator/(int64_t divisor) const {
    return millis(count_ / divisor);
  }
  constexpr millis& operator+=(millis other) { return *this = *this + other; }

 private:
  static constexpr millis Bound(bool is_low) {
    return millis(is_low ? INT64_MIN : INT64_MAX);
  }

  int64_t count_ = 0;
};

/// A source of instants. Decisions never read one: the caller passes `now`.
template <typename T>
concept clock_source = requires(T clock) {
  { clock.Now() } -> std::same_as<millis>;
};

/// Monotonic clock of this process; its origin is arbitrary.
struct steady_clock {
  static millis Now();
};

/// Monotonic clock that goes on while the machine is suspended; its origin is
/// arbitrary.
struct boot_clock {
  static millis Now();
};

/// Wall clock, in milliseconds since the Unix epoch.
struct wall_clock {
  static millis Now();
};

}  // namespace peridotarch

#endif  // CORE_MILLIS_H_
