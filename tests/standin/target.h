#ifndef STANDIN_TARGET_H_
#define STANDIN_TARGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotarch::standin {

/// The target of a request, taken apart.
struct target {
  std::string path;
  std::map<std::string, std::string> query;

  /// Returns the number under `name`, or `fallback`.
  [[nodiscard]] uint64_t Number(const std::string& name,
                                uint64_t fallback) const;
};

/// Takes `text` apart at `?`, `&` and `=`; nothing is unescaped.
target ParseTarget(std::string_view text);

}  // namespace peridotarch::standin

#endif  // STANDIN_TARGET_H_
