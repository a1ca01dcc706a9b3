#ifndef INNER_RPC_JSON_TEXT_H_
#define INNER_RPC_JSON_TEXT_H_

#include <string>

namespace Json {
class Value;
}  // namespace Json

namespace peridotarch {

/// Parses strict JSON nested at most `max_depth` deep; throws codec_error.
Json::Value ParseJson(const std::string& text, int max_depth);

/// Writes JSON without line ends.
std::string WriteJson(const Json::Value& value);

}  // namespace peridotarch

#endif  // INNER_RPC_JSON_TEXT_H_
