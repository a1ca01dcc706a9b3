#ifndef CORE_SETTINGS_READER_H_
#define CORE_SETTINGS_READER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/host_port.h"
#include "core/millis.h"
#include "core/setting.h"

namespace peridotarch {

/// Reads a program's settings from flags and the environment and gathers
/// everything that is wrong with them.
class settings_reader {
 public:
  /// Reads `argv` (whose first word is the program's name) and the environment.
  settings_reader(std::vector<setting> table, int argc,
                  const char* const* argv);

  /// Words of the command line that are no settings, in order.
  [[nodiscard]] const std::vector<std::string>& words() const { return words_; }

  /// Returns whether a switch is on.
  bool Switch(std::string_view name);

  /// Returns the value as it is, or an empty text if it is missing.
  std::string Text(std::string_view name);

  /// Returns a name: letters, digits, '.', '-' and '_', up to 63.
  std::string Name(std::string_view name);

  /// Returns an IP number.
  std::string IpNumber(std::string_view name);

  /// Returns an IP number with a port; empty when the fallback is.
  host_port Address(std::string_view name);

  /// Returns a whole number within [low, high].
  int64_t Number(std::string_view name, int64_t low, int64_t high);

  /// Returns a span written like "800ms", "2s" or "1m" within [low, high].
  millis Span(std::string_view name, millis low, millis high);

  /// Notes that the value of a setting is not allowed.
  void Reject(std::string_view name);

  /// Notes another fault, such as two settings that exclude each other.
  void RejectWith(std::string problem);

  /// Throws settings_error with one line a problem, if there is any.
  void ThrowIfRejected() const;

 private:
  struct found {
    std::string text;
    bool from_environment = false;
  };

  void ReadFlags(int argc, const char* const* argv);
  void ReadEnvironment();
  [[nodiscard]] const setting& Described(std::string_view name) const;

  const std::vector<setting> table_;
  std::map<std::string, found, std::less<>> found_;
  std::vector<std::string> words_;
  std::vector<std::string> problems_;
};

/// Returns one entry a setting: flag, variable, meaning, allowed values and
/// default.
std::string DescribeSettings(const std::vector<setting>& table);

}  // namespace peridotarch

#endif  // CORE_SETTINGS_READER_H_
