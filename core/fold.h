#ifndef CORE_FOLD_H_
#define CORE_FOLD_H_

#include <cstdint>
#include <string_view>

#include "core/hash.h"

namespace peridotarch {

/// Folds values in order into one number; any change of a value or of the
/// order changes it.
class fold {
 public:
  void Add(std::string_view text) { value_ = Hash64(text, value_); }
  void Add(uint64_t number) {
    Add(std::string_view(reinterpret_cast<const char*>(&number),
                         sizeof(number)));
  }

  [[nodiscard]] uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0;
};

}  // namespace peridotarch

#endif  // CORE_FOLD_H_
