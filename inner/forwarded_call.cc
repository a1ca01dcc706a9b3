#include "inner/forwarded_call.h"

#include <nlohmann/json.hpp>

#include "core/error.h"
#include "inner/json_number.h"

namespace peridotarch {

std::string Encode(const forwarded_call& call) {
  return nlohmann::json::array({call.service, call.shard, call.idempotent,
                                call.retries, call.key, call.left.count(),
                                call.zone, call.id, call.route})
      .dump();
}

forwarded_call DecodeForwardedCall(std::string_view text) {
  try {
    const auto fields = nlohmann::json::parse(text);
    forwarded_call call;
    call.service = fields.at(0).get<std::string>();
    call.shard = IntegerFrom<int>(fields.at(1), "shard");
    call.idempotent = fields.at(2).get<bool>();
    call.retries = IntegerFrom<int>(fields.at(3), "retries");
    call.key = fields.at(4).get<std::string>();
    call.left = millis(IntegerFrom<int64_t>(fields.at(5), "left"));
    call.zone = fields.at(6).get<std::string>();
    call.id = fields.at(7).get<std::string>();
    call.route = fields.at(8).get<std::string>();
    return call;
  } catch (const nlohmann::json::exception& malformed) {
    throw codec_error(std::string("forwarded call: ") + malformed.what());
  }
}

}  // namespace peridotarch
