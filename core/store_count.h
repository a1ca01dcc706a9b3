#ifndef CORE_STORE_COUNT_H_
#define CORE_STORE_COUNT_H_

#include <compare>
#include <cstdint>

namespace peridotarch {

/// A number that the store gives out, of 64 bits. It becomes an integer again
/// only by value(), so no narrower type takes it unseen, and numbers of
/// different kinds don't mix.
template <typename Kind>
class store_count {
 public:
  constexpr store_count() = default;
  // Widening loses nothing. NOLINTNEXTLINE(google-explicit-constructor)
  constexpr store_count(uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr uint64_t value() const { return value_; }

  friend constexpr auto operator<=>(const store_count&,
                                    const store_count&) = default;

 private:
  uint64_t value_ = 0;
};

/// The number of a configuration; a newer one has a larger number.
using config_version = store_count<struct config_version_kind>;

/// A position in a topic of the store.
using record_offset = store_count<struct record_offset_kind>;

/// How far a node knows a topic: the configuration by its version, others by an
/// offset.
using topic_position = store_count<struct topic_position_kind>;

}  // namespace peridotarch

#endif  // CORE_STORE_COUNT_H_
