#ifndef CORE_VERDICT_H_
#define CORE_VERDICT_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// Says whether a request may have run at an upstream.
enum class verdict {
  kNotRun,  ///< No upstream has started it, and none will on account of this
            ///< attempt.
  kRan,     ///< An upstream ran it and its whole answer is known.
  kMayHaveRun,  ///< It may have started; the outcome is unknown.
};

template <>
struct names_of<verdict> {
  static constexpr std::array<std::string_view, 3> kTable = {"not_run", "ran",
                                                             "may_have_run"};
};

}  // namespace peridotarch

#endif  // CORE_VERDICT_H_
