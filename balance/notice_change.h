#ifndef BALANCE_NOTICE_CHANGE_H_
#define BALANCE_NOTICE_CHANGE_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "balance/instance.h"
#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// What an instance has said about itself.
enum class notice_kind { kLeaving, kResting };

template <>
struct names_of<notice_kind> {
  static constexpr std::array<std::string_view, 2> kTable = {"leaving",
                                                             "resting"};
};

/// Why a notice no longer holds.
enum class notice_end {
  kNewStart,   ///< The instance has started again.
  kElapsed,    ///< The time that it stated is over.
  kForgotten,  ///< The store has not listed the instance for long.
};

template <>
struct names_of<notice_end> {
  static constexpr std::array<std::string_view, 3> kTable = {
      "new_start", "elapsed", "forgotten"};
};

/// A notice of an instance began or ended to hold.
struct notice_change {
  instance_entry instance;  ///< The start that the notice concerns.
  notice_kind kind = notice_kind::kLeaving;
  std::string told_by;  ///< The peer that reported it; empty: the instance.
  millis rest;          ///< From now on, if a rest has begun.
  std::optional<notice_end> ended;  ///< Empty: it has begun.
};

}  // namespace peridotarch

#endif  // BALANCE_NOTICE_CHANGE_H_
