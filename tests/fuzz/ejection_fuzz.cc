// Records of the stream `ejections`: what decodes encodes to bytes that decode
// to the same, and the fold of any bytes throws nothing.
#include "core/error.h"
#include "detection/ejection_record.h"
#include "detection/ledger.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  ledger folded("payout-desk");
  folded.Apply(text, millis(1000));
  folded.Apply(text, millis(2000));
  if (folded.head()) {
    const int out = ReservedSlots(*folded.head(), millis(1500));
    Require(out <= CapacitySlots(*folded.head()) - folded.head()->floor ||
            out <= 0);
  }
  try {
    const std::string once = Encode(DecodeEjection(text));
    Require(Encode(DecodeEjection(once)) == once);
  } catch (const codec_error&) {
    return -1;
  }
  return 0;
}
