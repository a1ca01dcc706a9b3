#ifndef PROXY_EXCHANGE_ENDING_H_
#define PROXY_EXCHANGE_ENDING_H_

#include <boost/system/error_code.hpp>

#include "request/attempt.h"

namespace peridotarch {

/// Returns how an exchange with an instance ended that failed like this.
attempt_end_cause EndingOf(const boost::system::error_code& failure);

}  // namespace peridotarch

#endif  // PROXY_EXCHANGE_ENDING_H_
