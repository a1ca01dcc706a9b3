#ifndef INNER_RPC_RPC_ERROR_H_
#define INNER_RPC_RPC_ERROR_H_

#include <string>

#include "core/error.h"

namespace peridotarch {

/// An error answer of JSON-RPC 2.0. A method that throws one chooses the code
/// of its answer; the caller's side throws the same again.
class rpc_error : public error {
 public:
  static constexpr int kParseError = -32700;
  static constexpr int kMethodNotFound = -32601;
  static constexpr int kInvalidParams = -32602;
  static constexpr int kInternal = -32603;

  rpc_error(int code, const std::string& message)
      : error(message), code_(code) {}

  int code() const { return code_; }

 private:
  int code_;
};

}  // namespace peridotarch

#endif  // INNER_RPC_RPC_ERROR_H_
