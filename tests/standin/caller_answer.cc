#include "standin/caller_answer.h"

#include <nlohmann/json.hpp>

#include "core/hash.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

std::string Padding(const std::string& tag, size_t bytes) {
  const std::string unit = BodyHash(tag) + "-";
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  text.resize(bytes);
  return text;
}

}  // namespace

std::string BodyHash(const std::string& body) {
  return std::to_string(Hash64(body));
}

std::string ToText(const caller_answer& reply) {
  const json fields = {{"tag", reply.tag},
                       {"path", reply.path},
                       {"instance", reply.instance},
                       {"body_bytes", reply.body_bytes},
                       {"body_hash", reply.body_hash},
                       {"failed", reply.failed},
                       {"padding", Padding(reply.tag, reply.padding)}};
  return fields.dump();
}

bool IsOwnAnswer(const std::string& text, const std::string& tag,
                 const std::string& path, const std::string& body,
                 size_t padding) {
  const json fields = json::parse(text, nullptr, false);
  if (fields.is_discarded() || !fields.is_object()) {
    return false;
  }
  return fields.value("tag", "") == tag && fields.value("path", "") == path &&
         fields.value("body_bytes", size_t{0}) == body.size() &&
         fields.value("body_hash", "") == BodyHash(body) &&
         fields.value("padding", "") == Padding(tag, padding);
}

}  // namespace peridotarch::standin
