#ifndef CORE_EXIT_CODE_H_
#define CORE_EXIT_CODE_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// Exit codes of both programs; the enumerator's value is the code.
enum class exit_code {
  kOk,           ///< Done; a daemon has drained and stopped.
  kFailed,       ///< The command ran and its answer is negative, such as a
                 ///< rules file with errors.
  kBadSettings,  ///< A setting or a word of the command line is not allowed.
  kUnreachable,  ///< The platform or the fleet does not answer; nothing was
                 ///< changed.
  kConflict,     ///< Another publish went first; nothing was changed.
  kUnknown,      ///< The log's answer was lost; the change may have been made.
  kNotInForce,   ///< Published, but not in force everywhere within the timeout.
  kInternal,     ///< A fault of the program.
};

template <>
struct names_of<exit_code> {
  static constexpr std::array<std::string_view, 8> kTable = {
      "ok",       "failed",  "bad_settings", "unreachable",
      "conflict", "unknown", "not_in_force", "internal"};
};

/// Returns the code as `main` returns it.
constexpr int ToInt(exit_code code) { return static_cast<int>(code); }

}  // namespace peridotarch

#endif  // CORE_EXIT_CODE_H_
