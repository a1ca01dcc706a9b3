#ifndef CORE_INVARIANT_H_
#define CORE_INVARIANT_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// The promises that the program checks about itself while it runs.
enum class invariant {
  kFloor,  ///< Ejections leave each service its floor of healthy capacity.
  kWholeAnswer,       ///< A caller gets the whole answer to its own request.
  kNotRun,            ///< A request reported as not run did not run.
  kAtMostOnce,        ///< A non-idempotent request runs at most once.
  kLeaving,           ///< A leaving upstream gets no new work.
  kGracefulShutdown,  ///< A graceful shutdown cuts no request.
  kConfigForward,     ///< The revision in force never falls.
  kSlots,             ///< An owner grants no more slots than an instance has.
};

template <>
struct names_of<invariant> {
  static constexpr std::array<std::string_view, 8> kTable = {
      "floor",   "whole_answer",      "not_run",        "at_most_once",
      "leaving", "graceful_shutdown", "config_forward", "slots"};
};

/// Counts a breach when `holds` is false; throws invariant_error when breaches
/// are fatal.
void Check(bool holds, invariant which);

/// Returns the breaches counted since the process started.
uint64_t Breaches(invariant which);

/// Makes every later breach throw (tests) or only count (daemon, the default).
void SetBreachesFatal(bool fatal);

}  // namespace peridotarch

#endif  // CORE_INVARIANT_H_
