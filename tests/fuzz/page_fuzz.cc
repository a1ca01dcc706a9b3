// Pages of the store, raw and in JSON as mirrors give them, too: any bytes make
// a page or throw codec_error, and so do values in base64.
#include "core/error.h"
#include "platform/base64.h"
#include "platform/keyed_page.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  try {
    const keyed_page page = DecodeKeyedPage(text, 5);
    Require(page.records.size() <= size);
  } catch (const codec_error&) {
  }
  try {
    keyed_page page;
    const std::string after = AddNewestPage(text, page);
    Require(after.empty() || page.records.back().key == after);
  } catch (const codec_error&) {
  }
  try {
    const std::string bytes = FromBase64(text);
    Require(FromBase64(ToBase64(bytes)) == bytes);
  } catch (const codec_error&) {
  }
  return 0;
}
