#include "inner/rpc/rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <exception>
#include <map>
#include <utility>

#include "inner/rpc/json_text.h"
#include "inner/rpc/rpc_error.h"

namespace peridotarch {

namespace {

// Hands each answer back to the caller of Handle through the request's cookie.
class text_connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* cookie) override {
    *static_cast<std::string*>(cookie) = response;
    return true;
  }
};

// Deeper than any result of ours.
constexpr int kMaxResultDepth = 128;

std::string ParseErrorAnswer(const char* reason) {
  Json::Value answer;
  answer["jsonrpc"] = "2.0";
  answer["id"] = Json::nullValue;
  answer["error"]["code"] = rpc_error::kParseError;
  answer["error"]["message"] = reason;
  return WriteJson(answer);
}

}  // namespace

// Maps the library's calls to plain functions; the inheritance is the
// library's.
class rpc_server::adapter : public jsonrpc::IProcedureInvokationHandler {
 public:
  adapter()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    connector_.SetHandler(protocol_.get());
  }

  void Add(const std::string& name, method run) {
    methods_[name] = std::move(run);
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, NULL));
  }

  std::string Answer(const std::string& request) {
    std::string response;
    connector_.OnRequest(request, &response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& called, const Json::Value& input,
                        Json::Value& output) override {
    try {
      const method& run = methods_.at(called.GetProcedureName());
      output = ParseJson(run(WriteJson(input)), kMaxResultDepth);
    } catch (const rpc_error& failure) {
      throw jsonrpc::JsonRpcException(failure.code(), failure.what());
    } catch (const std::exception& failure) {
      throw jsonrpc::JsonRpcException(rpc_error::kInternal, failure.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*called*/,
                              const Json::Value& /*input*/) override {}

 private:
  text_connector connector_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, method> methods_;
};

rpc_server::rpc_server() : adapter_(new adapter) {}

rpc_server::~rpc_server() = default;

void rpc_server::Register(const std::string& name, method run) {
  adapter_->Add(name, std::move(run));
}

// The library lets exceptions of its JSON parser out, such as that for values
// nested too deep.
std::string rpc_server::Handle(const std::string& request_json) {
  try {
    return adapter_->Answer(request_json);
  } catch (const std::exception& failure) {
    return ParseErrorAnswer(failure.what());
  }
}

}  // namespace peridotarch
