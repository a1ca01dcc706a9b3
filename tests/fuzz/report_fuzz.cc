// JSON of reports and of forwarded calls: what decodes encodes to a text that
// decodes to the same.
#include "core/error.h"
#include "inner/forwarded_call.h"
#include "inner/report.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

template <typename Again>
void CheckFixpoint(const std::string& text, Again again) {
  try {
    const std::string once = again(text);
    Require(again(once) == once);
  } catch (const codec_error&) {
    return;
  }
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string text(AsText(data, size));
  CheckFixpoint(text, [](const std::string& json) {
    return EncodeStatus(DecodeStatus(json));
  });
  CheckFixpoint(text, [](const std::string& json) {
    return EncodeEvents(DecodeEvents(json), millis(INT64_MIN));
  });
  CheckFixpoint(text, [](const std::string& json) {
    return EncodeTimelineQuery(DecodeTimelineQuery(json));
  });
  CheckFixpoint(text, [](const std::string& json) {
    return Encode(DecodeForwardedCall(json));
  });
  return 0;
}
