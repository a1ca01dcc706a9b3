#ifndef INNER_RPC_RPC_SERVER_H_
#define INNER_RPC_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>

namespace peridotarch {

/// Answers JSON-RPC 2.0 requests; the transport is the caller's. The library
/// behind it compiles only as C++14, so this header holds plain types alone.
class rpc_server {
 public:
  /// Takes the parameters and returns the result, both as JSON. Throws
  /// rpc_error to choose the code of the answer; any other exception becomes
  /// rpc_error::kInternal.
  using method = std::function<std::string(const std::string& params_json)>;

  rpc_server();
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// Adds a method; all are added before the first Handle.
  void Register(const std::string& name, method run);

  /// Returns the answer to a request, which may be malformed. Safe on any
  /// thread if the methods are.
  std::string Handle(const std::string& request_json);

 private:
  class adapter;

  std::unique_ptr<adapter> adapter_;
};

}  // namespace peridotarch

#endif  // INNER_RPC_RPC_SERVER_H_
