#ifndef FRONT_DECISION_LOG_H_
#define FRONT_DECISION_LOG_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "core/millis.h"

namespace peridotarch {

/// Writes structured lines to standard output, one JSON object per line. Never
/// blocks: a line above the rate limit, or one that the reader is too slow to
/// take, is omitted and counted; the next written line carries the count.
class decision_log {
 public:
  explicit decision_log(std::string node);

  /// Writes one line for `event` with its fields.
  void Write(std::string_view event, const nlohmann::ordered_json& fields);

 private:
  bool TakeToken(millis now);

  const std::string node_;
  double tokens_;
  millis refilled_at_;
  uint64_t omitted_lines_ = 0;  ///< Since the last written line.
};

}  // namespace peridotarch

#endif  // FRONT_DECISION_LOG_H_
