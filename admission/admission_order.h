#ifndef ADMISSION_ADMISSION_ORDER_H_
#define ADMISSION_ADMISSION_ORDER_H_

#include <array>
#include <string_view>

#include "core/names.h"

namespace peridotarch {

/// By what requests are ordered when a service has too little room.
enum class admission_mode {
  kPriority,  ///< By priority alone.
  kValue,     ///< By what a refusal costs callers for the room that it frees.
};

template <>
struct names_of<admission_mode> {
  static constexpr std::array<std::string_view, 2> kTable = {"priority",
                                                             "value"};
};

/// What the order looks at.
struct admission_request {
  int priority = 0;              ///< 0 is the most urgent.
  double work_ms = 0;            ///< Expected work of the request.
  double mean_work_ms = 0;       ///< Of the requests that occupy the service.
  double objective_ms = 0;       ///< An answer within it has full value.
  bool is_least_urgent = false;  ///< No route of the service is less urgent.
};

/// How long a request may be expected to wait and run, as parts of times.
struct admission_limit {
  double time_share = 0;    ///< Of the time that all requests may take.
  double objective_ms = 0;  ///< And no more than this; 0: no such limit.
};

/// Returns the limit for a request. A request whose refusal costs less for the
/// room that it frees has a lower one, so it is refused before the others while
/// the queues of a service grow.
admission_limit LimitOf(const admission_request& request, admission_mode mode);

/// Returns whether an instance of the own availability zone is to be used
/// although it makes the request wait, rather than a free one elsewhere.
bool StaysInZone(double expected_ms, double objective_ms, admission_mode mode);

}  // namespace peridotarch

#endif  // ADMISSION_ADMISSION_ORDER_H_
