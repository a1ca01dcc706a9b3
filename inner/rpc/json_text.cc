#include "inner/rpc/json_text.h"

#include <jsoncpp/json/json.h>

#include <memory>

#include "core/error.h"

namespace peridotarch {

Json::Value ParseJson(const std::string& text, int max_depth) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string failure;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value,
                      &failure)) {
      return value;
    }
  } catch (const Json::Exception& nested) {
    failure = nested.what();
  }
  throw codec_error("malformed JSON: " + failure);
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

}  // namespace peridotarch
