#ifndef STANDIN_LOAD_RECORD_H_
#define STANDIN_LOAD_RECORD_H_

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch::standin {

/// How a request ended for its caller.
enum class load_result {
  kWhole,     ///< The upstream's whole answer to this request.
  kReplayed,  ///< The whole answer to an earlier send under the same key.
  kRefused,   ///< An answer of the proxy itself, with its reason.
  kWrong,     ///< An answer that belongs to no send of this request.
  kCut,       ///< The connection ended within the answer.
  kClosed,    ///< The connection ended before the first byte of the answer.
  kTimeout,
  kUnreachable,  ///< No target accepted a connection; nothing was sent.
};

}  // namespace peridotarch::standin

namespace peridotarch {

template <>
struct names_of<standin::load_result> {
  static constexpr std::array<std::string_view, 8> kTable = {
      "whole", "replayed", "refused", "wrong",
      "cut",   "closed",   "timeout", "unreachable"};
};

}  // namespace peridotarch

namespace peridotarch::standin {

/// One send of a request and what came of it.
struct load_record {
  std::string tag;
  std::string family;  ///< The tag of the first send of the same request.
  std::string key;
  std::string method;
  std::string path;
  std::string team;
  std::string target;
  bool idempotent = false;
  bool reused = false;  ///< Sent on a connection that was used before.
  millis intended;      ///< Wall clock.
  millis sent;
  millis done;
  int64_t latency_us = 0;  ///< From the intended start.
  unsigned status = 0;
  std::string verdict;
  std::string reason;
  load_result result = load_result::kUnreachable;
};

/// Returns the record as one JSON object.
nlohmann::json ToJson(const load_record& record);

}  // namespace peridotarch::standin

#endif  // STANDIN_LOAD_RECORD_H_
