#ifndef INNER_RPC_RPC_CLIENT_H_
#define INNER_RPC_RPC_CLIENT_H_

#include <string>

namespace peridotarch {

/// Returns the JSON-RPC 2.0 request for a method; `params_json` is a JSON
/// object. Throws codec_error when it is no JSON.
std::string RpcRequest(const std::string& method,
                       const std::string& params_json = "{}");

/// Returns the result in an answer to RpcRequest, as JSON. Throws rpc_error
/// for an error answer and codec_error for a malformed one.
std::string RpcResult(const std::string& answer_json);

}  // namespace peridotarch

#endif  // INNER_RPC_RPC_CLIENT_H_
