#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "inner/rpc/rpc_client.h"
#include "inner/rpc/rpc_error.h"
#include "inner/rpc/rpc_server.h"

namespace peridotarch {
namespace {

using nlohmann::json;

void AddMethods(rpc_server& server) {
  server.Register("echo", [](const std::string& params) { return params; });
  server.Register("refuse", [](const std::string&) -> std::string {
    throw rpc_error(7, "not here");
  });
  server.Register("fail", [](const std::string&) -> std::string {
    throw std::runtime_error("disk on fire");
  });
  server.Register("garble", [](const std::string&) { return "{"; });
}

std::string Call(rpc_server& server, const std::string& method,
                 const std::string& params = "{}") {
  return RpcResult(server.Handle(RpcRequest(method, params)));
}

int CodeOf(rpc_server& server, const std::string& method) {
  try {
    Call(server, method);
  } catch (const rpc_error& failure) {
    return failure.code();
  }
  return 0;
}

TEST_CASE("a call takes its parameters and its result whole") {
  rpc_server server;
  AddMethods(server);
  const json params = {{"offset", 9'007'199'254'740'993},
                       {"text", "a \"quoted\" ünïcode \n line"},
                       {"list", {1, 2.5, nullptr, true}}};
  REQUIRE(json::parse(Call(server, "echo", params.dump())) == params);
}

TEST_CASE("the error of a method reaches the caller with its code") {
  rpc_server server;
  AddMethods(server);
  REQUIRE(CodeOf(server, "refuse") == 7);
  REQUIRE(CodeOf(server, "fail") == rpc_error::kInternal);
  REQUIRE(CodeOf(server, "garble") == rpc_error::kInternal);
  REQUIRE(CodeOf(server, "absent") == rpc_error::kMethodNotFound);
  REQUIRE_THROWS_WITH(Call(server, "refuse"), "not here");
}

TEST_CASE("a malformed request gets an error answer") {
  rpc_server server;
  AddMethods(server);
  const std::string deep = std::string(100'000, '[');
  for (const std::string& request :
       {std::string(), std::string("{"), std::string("null"), std::string("[]"),
        std::string("7"), std::string(R"({"method":"echo"})"),
        std::string("\xff\xfe"), deep}) {
    INFO(request.substr(0, 80));
    const json answer = json::parse(server.Handle(request));
    REQUIRE(answer.contains("error"));
    REQUIRE(answer["error"]["code"].get<int>() < 0);
  }
}

TEST_CASE("a malformed answer is a codec error") {
  const std::string deep = std::string(100'000, '[');
  for (const std::string& answer :
       {std::string(), std::string("{"), std::string("7"), std::string("[]"),
        std::string(R"({"jsonrpc":"2.0","id":1})"), deep,
        std::string(R"({"jsonrpc":{},"id":1,"result":1})"),
        std::string(R"({"jsonrpc":"1.0","id":1,"result":1})"),
        std::string(R"({"jsonrpc":"2.0","id":1,"error":3})"),
        std::string(R"({"jsonrpc":"2.0","id":1,"error":{"code":{}}})"),
        std::string(R"({"jsonrpc":"2.0","error":{"code":1,"message":[]}})")}) {
    INFO(answer.substr(0, 80));
    REQUIRE_THROWS_AS(RpcResult(answer), codec_error);
  }
}

TEST_CASE("malformed parameters are refused before they are sent") {
  REQUIRE_THROWS_AS(RpcRequest("echo", "{"), codec_error);
}

}  // namespace
}  // namespace peridotarch
