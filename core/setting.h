#ifndef CORE_SETTING_H_
#define CORE_SETTING_H_

#include <optional>
#include <string>

namespace peridotarch {

/// Describes one setting of a program: flag `--name VALUE` or environment
/// variable `PERIDOTARCH_NAME`, where the flag goes first.
struct setting {
  std::string name;     ///< Lower case with dashes, such as "inner-port".
  std::string allowed;  ///< The allowed values, in words.
  std::string meaning;
  std::optional<std::string> fallback =
      std::nullopt;        ///< None: the setting is required.
  bool is_switch = false;  ///< The flag takes no value and means "true".
  bool secret = false;     ///< Its value is never printed.
};

}  // namespace peridotarch

#endif  // CORE_SETTING_H_
