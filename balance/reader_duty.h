#ifndef BALANCE_READER_DUTY_H_
#define BALANCE_READER_DUTY_H_

#include <cstdint>
#include <optional>
#include <span>

#include "core/millis.h"

namespace peridotarch {

struct reader_candidate;

/// When this node reads the store for its zone. A few nodes take over from a
/// reader that is lost; more follow if none of them can read either.
class reader_duty {
 public:
  /// Returns since when, or from when on, this node should read the store, or
  /// nullopt if enough others do. Must be called whenever readers may have been
  /// lost, as the delay counts from the first call that finds too few.
  std::optional<millis> DueAt(uint64_t own_rank,
                              std::span<const reader_candidate> others,
                              millis now);

 private:
  std::optional<millis> missing_since_;
};

}  // namespace peridotarch

#endif  // BALANCE_READER_DUTY_H_
