// JSON-RPC: any request gets an answer, and any answer a result or one of two
// exceptions.
#include "inner/rpc/rpc_client.h"
#include "inner/rpc/rpc_error.h"
#include "inner/rpc/rpc_server.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

rpc_server& Server() {
  static rpc_server server;
  static const bool registered = [] {
    server.Register("echo", [](const std::string& params) { return params; });
    return true;
  }();
  Require(registered);
  return server;
}

void CheckAnswer(const std::string& answer) {
  try {
    RpcResult(answer);
  } catch (const rpc_error&) {
  } catch (const codec_error&) {
  }
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string text(AsText(data, size));
  CheckAnswer(Server().Handle(text));
  CheckAnswer(text);
  std::string request;
  try {
    request = RpcRequest("echo", "{\"a\":" + text + "}");
  } catch (const codec_error&) {
    return 0;
  }
  RpcResult(Server().Handle(request));
  return 0;
}
