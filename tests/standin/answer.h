#ifndef STANDIN_ANSWER_H_
#define STANDIN_ANSWER_H_

#include <string>
#include <utility>
#include <vector>

namespace peridotarch::standin {

/// How an answer ends on the wire.
enum class ending {
  kWhole,      ///< Sent in full.
  kTruncated,  ///< Half of the body, then the connection is closed.
  kClosed,     ///< No byte, then the connection is closed.
  kReset,      ///< No byte, then the connection is reset.
  kHang,       ///< No byte, and the connection stays open.
};

/// What a handler wants sent to its client.
struct answer {
  unsigned status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers = {};
  bool chunked = false;
  bool close = false;
  ending end = ending::kWhole;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_ANSWER_H_
