#include "proxy/exchange_ending.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

attempt_end_cause EndingOf(const error_code& failure) {
  if (failure == beast::error::timeout) {
    return attempt_end_cause::kTimeout;
  }
  if (failure == http::error::end_of_stream ||
      failure == http::error::partial_message || failure == asio::error::eof) {
    return attempt_end_cause::kClosed;
  }
  if (failure.category() == http::make_error_code(http::error{}).category()) {
    return attempt_end_cause::kMalformed;
  }
  return attempt_end_cause::kReset;
}

}  // namespace peridotarch
