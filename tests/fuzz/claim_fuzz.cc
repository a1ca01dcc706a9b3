// Records of the stream `claims`: what decodes encodes to bytes that decode to
// the same.
#include "request/claim_record.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const auto decoded = DecodeClaims(AsText(data, size));
  if (!decoded) {
    return -1;
  }
  const std::string once = EncodeClaims(*decoded);
  const auto again = DecodeClaims(once);
  Require(again.has_value());
  Require(EncodeClaims(*again) == once);
  return 0;
}
