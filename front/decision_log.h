#ifndef FRONT_DECISION_LOG_H_
#define FRONT_DECISION_LOG_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "core/millis.h"

namespace peridotarch {

/// Structured lines on standard output, one JSON object a line. Never blocks:
/// lines above the rate, or that the reader is too slow for, are counted and
/// left out, and the next line that passes says how many.
class decision_log {
 public:
  explicit decision_log(std::string node);

  /// Writes one line for `event` with its fields.
  void Write(std::string_view event, const nlohmann::ordered_json& fields);

 private:
  bool TakeToken(millis now);

  const std::string node_;
  double tokens_;
  millis refilled_;
  uint64_t left_out_ = 0;  ///< Since the last line that passed.
};

}  // namespace peridotarch

#endif  // FRONT_DECISION_LOG_H_
