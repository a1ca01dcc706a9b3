#include "inner/rpc/rpc_client.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/errors.h>

#include "inner/rpc/json_text.h"
#include "inner/rpc/rpc_error.h"

namespace peridotarch {

namespace {

// The library's client sends and reads in one blocking call. This connector
// keeps the request and hands in an answer, so that the transport may be
// anything.
class text_connector : public jsonrpc::IClientConnector {
 public:
  explicit text_connector(const std::string& answer) : answer_(answer) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    request_ = message;
    result = answer_;
  }

  const std::string& request() const { return request_; }

 private:
  const std::string answer_;
  std::string request_;
};

// Whatever RpcRequest lets out, an answer that echoes it may hold.
constexpr int kMaxRequestDepth = 64;
constexpr int kMaxAnswerDepth = kMaxRequestDepth + 2;

// The library's client may throw only its own exception; its JSON parser's
// would end the process. Whatever could throw one is refused here.
void CheckAnswer(const std::string& answer_json) {
  const Json::Value answer = ParseJson(answer_json, kMaxAnswerDepth);
  if (!answer.isObject() || !answer["jsonrpc"].isString()) {
    throw codec_error("no answer of JSON-RPC 2.0");
  }
  if (!answer.isMember("error")) {
    return;
  }
  const Json::Value& failure = answer["error"];
  if (!failure.isObject() || !failure["code"].isInt() ||
      !failure["message"].isString()) {
    throw codec_error("malformed error of JSON-RPC 2.0");
  }
}

}  // namespace

std::string RpcRequest(const std::string& method,
                       const std::string& params_json) {
  text_connector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
  jsonrpc::Client client(connector);
  client.CallMethod(method, ParseJson(params_json, kMaxRequestDepth));
  return connector.request();
}

std::string RpcResult(const std::string& answer_json) {
  try {
    CheckAnswer(answer_json);
    text_connector connector(answer_json);
    jsonrpc::Client client(connector);
    return WriteJson(client.CallMethod("", Json::Value()));
  } catch (const jsonrpc::JsonRpcException& failure) {
    if (failure.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE) {
      throw codec_error(std::string("malformed answer: ") + failure.what());
    }
    throw rpc_error(failure.GetCode(), failure.GetMessage());
  } catch (const Json::Exception& failure) {
    throw codec_error(std::string("malformed answer: ") + failure.what());
  }
}

}  // namespace peridotarch
