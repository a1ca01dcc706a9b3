#include "proxy/admin.h"

#include <nlohmann/json.hpp>
#include <string>

#include "core/error.h"
#include "core/hash.h"
#include "inner/rpc/rpc_error.h"
#include "inner/rpc/rpc_server.h"
#include "platform/base64.h"
#include "proxy/control.h"
#include "proxy/node.h"

namespace peridotarch {

namespace {

using nlohmann::json;

constexpr int kHexBase = 16;

digest DigestFromHex(const std::string& text) {
  digest value;
  if (text.size() != value.size() * 2) {
    throw codec_error("a digest has 64 hexadecimal digits");
  }
  for (size_t i = 0; i < value.size(); ++i) {
    value[i] = static_cast<uint8_t>(
        std::stoi(text.substr(2 * i, 2), nullptr, kHexBase));
  }
  return value;
}

std::string ConfigHead(const control& loops) {
  const revision_id& id = loops.config().in_force().id;
  return json{{"number", id.number}, {"chain", ToHex(id.chain)}}.dump();
}

std::string ConfigFetch(const control& loops, const std::string& params) {
  try {
    const json asked = json::parse(params);
    revision_id have;
    have.number = asked.at("number").get<uint64_t>();
    have.chain = DigestFromHex(asked.at("chain").get<std::string>());
    return json{{"bytes", ToBase64(loops.config().AnswerFetch(have))}}.dump();
  } catch (const std::exception& malformed) {
    throw rpc_error(rpc_error::kInvalidParams, malformed.what());
  }
}

}  // namespace

std::unique_ptr<rpc_server> MakeAdmin(node& here, control& loops) {
  auto methods = std::make_unique<rpc_server>();
  methods->Register("config_head",
                    [&loops](const std::string&) { return ConfigHead(loops); });
  methods->Register("config_fetch", [&loops](const std::string& params) {
    return ConfigFetch(loops, params);
  });
  static_cast<void>(here);
  return methods;
}

}  // namespace peridotarch
