#ifndef BALANCE_ANSWER_NOTICE_H_
#define BALANCE_ANSWER_NOTICE_H_

#include "core/millis.h"

namespace peridotarch {

/// The longest rest that an answer can ask for; a longer one is cut to it.
inline constexpr millis kMaxRest(60'000);

/// What the head of an answer says about the instance that sent it.
struct answer_notice {
  bool leaving = false;  ///< The instance shuts down and wants no new request.
  millis rest;           ///< It wants no request for so long; 0: not stated.
  /// The answer is not from the instance that the request was meant for.
  bool is_misdirected = false;
};

}  // namespace peridotarch

#endif  // BALANCE_ANSWER_NOTICE_H_
